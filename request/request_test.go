package request_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/request"
)

var now = time.Unix(1_700_000_000, 0)

const maxDuration = time.Minute

// FuzzIdentify checks that Identify returns either a valid request or a *NotRun for
// any headers.
func FuzzIdentify(f *testing.F) {
	f.Add("Linenscale-Home", "lagos", "Linenscale-Class", "batch", "Linenscale-Deadline", "2s")
	f.Add("Linenscale-Home", "a", "linenscale-handover-path", "x", "Idempotency-Key", "k")
	f.Add("Linenscale-Home", "\x00", "Linenscale-Home", "b", "Linenscale-Deadline", "-1s")
	f.Fuzz(func(t *testing.T, n1, v1, n2, v2, n3, v3 string) {
		header := http.Header{}
		for _, h := range [][2]string{{n1, v1}, {n2, v2}, {n3, v3}} {
			header.Add(h[0], h[1])
		}
		r, err := request.Identify("s", "/x", http.MethodPost, header, now, maxDuration)
		if err != nil {
			var refusal *request.NotRun
			must.True(t, errors.As(err, &refusal))
			return
		}
		must.NotEq(t, "", r.HomeRegion)
		must.NotEq(t, "", r.ID)
		must.False(t, r.IsHandover())
		must.False(t, r.Deadline.After(now.Add(maxDuration)))
		must.Between(t, 0, r.Class.Priority(), 2)
		must.False(t, strings.ContainsAny(r.HomeRegion+r.Account+r.IdempotencyKey+r.ID, "\r\n\x00"))
	})
}

// FuzzExtractHandover checks that ExtractHandover never accepts more than MaxHandovers
// hosts and leaves no hand-over header that would be forwarded.
func FuzzExtractHandover(f *testing.F) {
	f.Add("host-a", "1000")
	f.Add("host-a,host-b", "1000")
	f.Add("", "x")
	f.Fuzz(func(t *testing.T, path, remaining string) {
		header := http.Header{}
		header.Set("Linenscale-Handover-Path", path)
		header.Set("Linenscale-Handover-Remaining", remaining)
		hosts, remainingTime, err := request.ExtractHandover(header)
		if err != nil {
			return
		}
		must.LessEq(t, request.MaxHandovers, len(hosts))
		must.Greater(t, 0, remainingTime)
		must.MapEmpty(t, header)
	})
}

// TestHandoverPreservesDeadline guards against a hand-over that extends a request's
// deadline, or forwards a request whose deadline has passed.
func TestHandoverPreservesDeadline(t *testing.T) {
	header := http.Header{}
	header.Set(request.HeaderHome, "lagos")
	r, err := request.Identify("s", "/x", http.MethodGet, header, now, maxDuration)
	must.NoError(t, err)
	forwarded := http.Header{}
	r.WithVisitedHost("host-a").SetHandoverHeaders(forwarded, now.Add(10*time.Second), 7)
	path, remaining, err := request.ExtractHandover(forwarded)
	must.NoError(t, err)
	must.Eq(t, []string{"host-a"}, path)
	must.Eq(t, maxDuration-10*time.Second, remaining)
	must.False(t, r.IsHandover(), must.Sprint("a request is immutable"))

	expired := http.Header{}
	r.WithVisitedHost("host-a").SetHandoverHeaders(expired, now.Add(2*maxDuration), 7)
	_, _, err = request.ExtractHandover(expired)
	var refusal *request.NotRun
	must.True(t, errors.As(err, &refusal))
	must.Eq(t, request.ReasonDeadline, refusal.Reason)
}

func ExampleStatus() {
	fmt.Println(request.Status(request.BadRequestf("no home")))
	fmt.Println(request.Status(&request.NotRun{Reason: request.ReasonOverload}))
	fmt.Println(request.Status(&request.OutcomeUnknown{}))
	// Output:
	// 400
	// 429
	// 502
}
