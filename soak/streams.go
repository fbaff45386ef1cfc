package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// softwareVersions are the versions of the engines, which serve side by side all the time. What
// they write differs.
var softwareVersions = []string{platformtest.DefaultVersion, "v2"}

const (
	// streamEvents is the length of each stream.
	streamEvents = 12
	// One stream in breakOneIn is broken off by its caller, which then takes it up.
	breakOneIn = 3
	// maxResumptions is how often a caller takes up one stream.
	maxResumptions = 3
	// minResumptions is how many resumptions must count in a run for their share to be
	// compared with that of new streams, of which it must be half at least.
	minResumptions = 12
	// contactTime is how long a gateway's process must have run undisturbed for a request to
	// count in these shares.
	contactTime = 6 * time.Second
)

// nextVersion returns the versions in turn, and the first one before the release of the second.
func (w *World) nextVersion() string {
	n := int(w.enginesStarted.Add(1))
	if !w.released.Load() {
		n = 0
	}
	return softwareVersions[n%len(softwareVersions)]
}

// enginesOf counts the live model engines of a version.
func (w *World) enginesOf(version string) int {
	n := 0
	for _, e := range w.liveEngines() {
		if e.Service == "model" && e.Version() == version {
			n++
		}
	}
	return n
}

// versionOf returns the version whose stream begins with body; "" if there is none.
func versionOf(body string) string {
	for _, v := range softwareVersions {
		if strings.HasPrefix(platformtest.StreamText(v, streamEvents), body) {
			return v
		}
	}
	return ""
}

// completeEvents returns the events of a stream's body that have arrived whole.
func completeEvents(body string) string {
	end := strings.LastIndex(body, "\n\n")
	if end < 0 {
		return ""
	}
	return body[:end+len("\n\n")]
}

// lastEventOf returns the ID of the last event in a body of complete events.
func lastEventOf(body string) string {
	last := body[strings.LastIndex(body, "id: ")+len("id: "):]
	id, _, _ := strings.Cut(last, "\n")
	return id
}

// resumeStream takes up a stream that has broken off, each time at a randomly drawn gateway of
// any region, until it is complete or the caller's time is over.
func (w *World) resumeStream(ctx context.Context, caller *platformtest.Caller, k requestKind, request platformtest.Request, first platformtest.Result, r *rand.Rand) {
	deadline := first.StartTime.Add(request.Deadline)
	body := first.Body
	for range maxResumptions {
		if !strings.Contains(body, "\n\n") {
			return
		}
		body = completeEvents(body)
		at := pick(r, w.gateways(""))
		request.Resumes, request.LastEvent, request.Deadline, request.BreakAfter = first.ID, lastEventOf(body), time.Until(deadline), 0
		if r.IntN(breakOneIn) == 0 {
			request.BreakAfter = 1
		}
		serving := w.enginesOf(versionOf(body))
		result, err := caller.Do(ctx, at.settings.Listen.Callers, request)
		if err != nil || ctx.Err() != nil {
			return
		}
		body += result.Body
		w.Checker.CheckResumption(k, at, result, body, serving)
		if result.Complete && result.Status == http.StatusOK {
			return
		}
	}
}

// streamStart is one request that begins or resumes a stream.
type streamStart struct {
	gateway   string // IP address
	from, to  time.Time
	succeeded bool
}

// CheckResumption checks the answer to a resumption: together with the events that the caller had
// before, it must be the stream of one version. serving is how many engines of its version
// were live when it was sent.
func (c *Checker) CheckResumption(k requestKind, at *Host, r platformtest.Result, body string, serving int) {
	c.mu.Lock()
	c.Checks++
	c.Resumptions++
	if r.GuaranteesNotRun() {
		c.notRun[r.ID] = at.Name
	}
	if serving >= 2 {
		c.resumed = append(c.resumed, newStreamStart(at, r))
	}
	c.mu.Unlock()
	if r.Status != http.StatusOK {
		return
	}
	switch version := versionOf(body); {
	case version == "":
		c.AddProblem("request %s (%s) at %s: the resumed stream isn't of one version: %q", r.ID, k.name, at.Name, body)
	case r.Complete && body != platformtest.StreamText(version, streamEvents) && !c.mayBeCut(k, r):
		c.AddProblem("request %s (%s) at %s: the resumed stream ends as whole, but isn't: %q", r.ID, k.name, at.Name, body)
	}
}

// RecordNewStream records a request that begins a stream.
func (c *Checker) RecordNewStream(at *Host, r platformtest.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = append(c.begun, newStreamStart(at, r))
}

func newStreamStart(at *Host, r platformtest.Result) streamStart {
	return streamStart{at.listenIP, r.StartTime, r.StartTime.Add(r.Duration), hasBegun(r)}
}

// checkResumptions checks that streams go on where new ones begin: of the resumptions at gateways
// that ran undisturbed, while two engines of their version were live, the share that went on
// must be half of the share of new streams that began, at least.
func (c *Checker) checkResumptions() {
	resumed, begun := c.shareOf(c.resumed), c.shareOf(c.begun)
	c.ResumptionsCounted, c.ResumptionsGoneOn = resumed.count, resumed.succeeded
	if resumed.count >= minResumptions && resumed.share() < begun.share()/2 {
		c.AddProblem("%d of %d resumed streams went on, and %d of %d new ones began", resumed.succeeded, resumed.count, begun.succeeded, begun.count)
	}
}

// shareOfStarts counts requests and those that succeeded.
type shareOfStarts struct{ count, succeeded int }

func (s shareOfStarts) share() float64 { return float64(s.succeeded) / float64(max(1, s.count)) }

// shareOf counts the requests at gateways that ran undisturbed.
func (c *Checker) shareOf(starts []streamStart) shareOfStarts {
	var out shareOfStarts
	for _, s := range starts {
		if c.disturbedBetween(s.gateway, s.from.Add(-contactTime), s.to) {
			continue
		}
		out.count++
		if s.succeeded {
			out.succeeded++
		}
	}
	return out
}
