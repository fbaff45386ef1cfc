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

const longest = time.Minute

// FuzzIdentify checks that whatever stands in the headers, identification gives
// either a sound request or a refusal as not run.
func FuzzIdentify(f *testing.F) {
	f.Add("Linenscale-Home", "lagos", "Linenscale-Class", "batch", "Linenscale-Deadline", "2s")
	f.Add("Linenscale-Home", "a", "linenscale-handover-path", "x", "Idempotency-Key", "k")
	f.Add("Linenscale-Home", "\x00", "Linenscale-Home", "b", "Linenscale-Deadline", "-1s")
	f.Fuzz(func(t *testing.T, n1, v1, n2, v2, n3, v3 string) {
		header := http.Header{}
		for _, h := range [][2]string{{n1, v1}, {n2, v2}, {n3, v3}} {
			header.Add(h[0], h[1])
		}
		r, err := request.Identify("s", "/x", http.MethodPost, header, now, longest)
		if err != nil {
			var refusal *request.NotRun
			must.True(t, errors.As(err, &refusal))
			return
		}
		must.NotEq(t, "", r.Home)
		must.NotEq(t, "", r.ID)
		must.False(t, r.IsHandover())
		must.False(t, r.Deadline.After(now.Add(longest)))
		must.Between(t, 0, r.Class.Priority(), 2)
		must.False(t, strings.ContainsAny(r.Home+r.Account+r.Key+r.ID, "\r\n\x00"))
	})
}

// FuzzTakeHandover checks that no hand-over headers make a path that is too
// long, or leave one of them to be passed on.
func FuzzTakeHandover(f *testing.F) {
	f.Add("host-a", "1000")
	f.Add("host-a,host-b", "1000")
	f.Add("", "x")
	f.Fuzz(func(t *testing.T, path, remaining string) {
		header := http.Header{}
		header.Set("Linenscale-Handover-Path", path)
		header.Set("Linenscale-Handover-Remaining", remaining)
		visited, left, err := request.TakeHandover(header)
		if err != nil {
			return
		}
		must.LessEq(t, request.MaxHandovers, len(visited))
		must.Greater(t, 0, left)
		must.MapEmpty(t, header)
	})
}

func TestHandoverKeepsTheDeadline(t *testing.T) {
	header := http.Header{}
	header.Set(request.HeaderHome, "lagos")
	r, err := request.Identify("s", "/x", http.MethodGet, header, now, longest)
	must.NoError(t, err)
	sent := http.Header{}
	r.WithVisit("host-a").SetHandover(sent, now.Add(10*time.Second), 7)
	path, left, err := request.TakeHandover(sent)
	must.NoError(t, err)
	must.Eq(t, []string{"host-a"}, path)
	must.Eq(t, longest-10*time.Second, left)
	must.False(t, r.IsHandover(), must.Sprint("a request is immutable"))

	late := http.Header{}
	r.WithVisit("host-a").SetHandover(late, now.Add(2*longest), 7)
	_, _, err = request.TakeHandover(late)
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
