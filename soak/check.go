package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// requestKind is one kind of request that callers send, with the guarantees of its route.
type requestKind struct {
	name        string
	service     string
	model       bool
	atMostOnce  bool   // an engine may run it only once
	maxAttempts int    // limit on the engines that receive it
	region      string // the only region that may run it; "" for any
	resumable   bool   // callers take up its streams
	long        bool   // a plain answer of longPadding bytes
	upload      bool   // a body that engines leave unread for a while
}

// pause returns the pause of each caller between two requests.
func (k requestKind) pause() time.Duration {
	switch {
	case k.long:
		return longCallPause
	case k.upload:
		return uploadPause
	}
	return callPause
}

// padding returns the length of the filler in the kind's plain answers.
func (k requestKind) padding() int {
	if k.long {
		return longPadding
	}
	return platformtest.DefaultPadding
}

// longPadding makes half an answer longer than a gateway buffers, so that its head is on its way
// to the caller when an engine breaks it off.
const longPadding = 600_000

// uploadBody is longer than what an engine's receive buffer takes while the engine doesn't read.
var uploadBody = strings.Repeat("u", 400_000)

// body returns the body of the kind's requests.
func (k requestKind) body() string {
	if k.upload {
		return uploadBody
	}
	return ""
}

// kinds has one entry for each of the declaration's permanent routes.
var kinds = []requestKind{
	{name: "safe", service: "portal", maxAttempts: 2},
	{name: "unsafe", service: "portal", atMostOnce: true, maxAttempts: 1},
	{name: "bound", service: "portal", maxAttempts: 2, region: "region0"},
	{name: "chat", service: "model", model: true, atMostOnce: true, maxAttempts: 1},
	{name: "review", service: "model", model: true, maxAttempts: 2, resumable: true},
	{name: longKind, service: "portal", maxAttempts: 2, region: "region0", long: true}, // handed over by all other regions
	{name: uploadKind, service: "portal", atMostOnce: true, maxAttempts: 1, region: "region0", upload: true},
	{name: uploadStreamKind, service: "model", model: true, atMostOnce: true, maxAttempts: 1, region: "region0", upload: true},
}

// Names of the kinds with long bodies. The streams of the second begin before the body is read.
const (
	uploadKind       = "upload"
	uploadStreamKind = "upload-stream"
)

// longKind is the name of the kind with long plain answers.
const longKind = "long"

func kindOfPath(path string) (requestKind, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, k := range kinds {
		if k.name == name {
			return k, true
		}
	}
	return requestKind{}, false
}

// Checker compares what callers, engines and operators observed with what linenscale
// guarantees, and collects the violations. It is safe for concurrent use.
type Checker struct {
	mu                                    sync.Mutex
	engines                               []*Engine
	notRun                                map[string]string   // by request that was reported as not run: the gateway that said so
	newest                                int64               // highest accepted version
	acceptedAt                            map[int64]time.Time // by version
	keyUses                               map[string]keyUse   // by request
	calmSince                             time.Time           // when fault injection ended; zero while it goes on
	problems                              []string
	Answers                               map[string]int // by kind and status
	Checks                                int
	SmallAccountRuns                      int // requests of the small account that ran
	PoisonRuns                            int // runs of the request that crashes engines
	LimitedEnginePeak                     int // most requests within limitWindow at the rate-limited engine, while calm
	limitedEngine                         *Engine
	Resumptions                           int // requests that took up a stream
	ResumptionsCounted, ResumptionsGoneOn int // at undisturbed gateways, see checkResumptions
	begun, resumed                        []streamStart
	sound                                 []streamStart          // requests without the part that crashes engines
	PartCrashes                           int                    // runs of requests with that part
	BrokenLong                            int                    // long answers that visibly broke off
	Uploads, FailedUploads                int                    // that ran while calm, and of these those without an answer
	StreamUploads, FailedStreamUploads    int                    // of these, those that are answered by a stream
	Rejoined                              int                    // streams that went on after all gateways had been killed
	Endless                               int                    // responses whose head never ended
	SnapshotReturns                       int                    // control hosts that came back after the leader had compacted what they missed
	Backoffs                              int                    // backoffs that engines asked for
	disturbances                          map[string][]time.Time // by IP address: when a host's process was started or got a signal
}

// NewChecker returns a checker without observations.
func NewChecker() *Checker {
	return &Checker{notRun: make(map[string]string), acceptedAt: make(map[int64]time.Time), keyUses: make(map[string]keyUse), Answers: make(map[string]int), disturbances: make(map[string][]time.Time)}
}

// AddEngine adds an engine whose received requests are checked.
func (c *Checker) AddEngine(e *Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
}

// VersionAccepted records that a control host accepted a version of the declaration.
func (c *Checker) VersionAccepted(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.newest = max(c.newest, version)
	c.acceptedAt[version] = time.Now()
}

// NewestVersion returns the highest version that was accepted.
func (c *Checker) NewestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newest
}

// SetCalm records that no faults are injected from now on, or that injection starts again.
func (c *Checker) SetCalm(calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calmSince = time.Time{}
	if calm {
		c.calmSince = time.Now()
	}
}

// AddProblem records a violated guarantee.
func (c *Checker) AddProblem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// Problems returns a copy of the violations found so far.
func (c *Checker) Problems() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.problems...)
}

// CheckAnswer checks one answer as its caller received it: a success must come from an
// engine, and its body must be that engine's answer or, if the answer was cut short, a
// prefix of it.
func (c *Checker) CheckAnswer(k requestKind, gateway string, r platformtest.Result) {
	c.mu.Lock()
	c.Checks++
	c.Answers[fmt.Sprintf("%s %d", k.name, r.Status)]++
	if r.GuaranteesNotRun() {
		c.notRun[r.ID] = gateway
	}
	if k.upload && !c.calmSince.IsZero() && r.StartTime.After(c.calmSince.Add(uploadTime)) && !r.GuaranteesNotRun() {
		c.countUpload(k, r.Status == http.StatusOK && r.Complete)
	}
	c.mu.Unlock()
	if r.Status != http.StatusOK {
		return
	}
	want := platformtest.PaddedResponseBody(r.Engine, r.ID, k.padding())
	if k.model {
		want = platformtest.StreamText(versionOf(r.Body), streamEvents)
	}
	if k.long && !r.Complete {
		c.countBrokenLong()
	}
	switch {
	case r.Engine == "":
		c.AddProblem("request %s (%s) at %s: a success that no engine signed", r.ID, k.name, gateway)
	case r.Complete && r.Body != want && !c.mayBeCut(k, r):
		c.AddProblem("request %s (%s) at %s: the answer ends as whole, but isn't its engine's: %d bytes, %q", r.ID, k.name, gateway, len(r.Body), beginOf(r.Body))
	case !strings.HasPrefix(want, r.Body):
		c.AddProblem("request %s (%s) at %s: the answer has other bytes than its engine's: %d bytes, %q", r.ID, k.name, gateway, len(r.Body), beginOf(r.Body))
	}
}

// shownBytes bounds how much of an answer a report shows.
const shownBytes = 2000

// beginOf returns the begin of an answer for the report.
func beginOf(body string) string { return body[:min(len(body), shownBytes)] }

// countBrokenLong counts a long answer that visibly broke off.
func (c *Checker) countBrokenLong() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.BrokenLong++
}

// mayBeCut reports whether an answer that ended early may have ended like a whole one: its engine
// sent it with neither a length nor chunks and so did the gateway, and a stream ended at
// the end of an event.
func (c *Checker) mayBeCut(k requestKind, r platformtest.Result) bool {
	if !r.Unframed || (k.model && (r.Body == "" || r.Body != completeEvents(r.Body))) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.engines, func(e *Engine) bool { return e.CutUnframed(r.ID) })
}

// CheckRead checks a read at a control host that returned version got. It must be at least
// newest, the newest version that had been accepted when the read began.
func (c *Checker) CheckRead(control string, newest, got int64) {
	c.mu.Lock()
	c.Checks++
	c.mu.Unlock()
	if got < newest {
		c.AddProblem("%s shows version %d, after %d was accepted", control, got, newest)
	}
}

// drainTime is how long a draining engine may still receive requests after a control host
// has acknowledged that it drains.
const drainTime = 4 * time.Second

// countUpload counts an upload that ran while calm. The lock is held.
func (c *Checker) countUpload(k requestKind, answered bool) {
	failed := 0
	if !answered {
		failed = 1
	}
	c.Uploads, c.FailedUploads = c.Uploads+1, c.FailedUploads+failed
	if k.model {
		c.StreamUploads, c.FailedStreamUploads = c.StreamUploads+1, c.FailedStreamUploads+failed
	}
}

// checkUploads checks that engines which read late got most uploads, of either kind: some fail
// because their engine crashes.
func (c *Checker) checkUploads() {
	plain, failedPlain := c.Uploads-c.StreamUploads, c.FailedUploads-c.FailedStreamUploads
	if failedPlain*2 > plain {
		c.AddProblem("%d of %d uploads to engines that read late failed while calm", failedPlain, plain)
	}
	if c.FailedStreamUploads*2 > c.StreamUploads {
		c.AddProblem("%d of %d uploads to engines that stream before they read failed while calm", c.FailedStreamUploads, c.StreamUploads)
	}
}

// maxEndless is how much of an endless response may be read before its connection is closed.
const maxEndless = 1 << 20

// checkEndless checks that most responses whose head never ended were closed soon: a gateway that
// is suspended meanwhile can't.
func (c *Checker) checkEndless(engines []*Engine) {
	all, late := 0, 0
	for _, e := range engines {
		for _, written := range e.EndlessResponses() {
			all++
			if written > maxEndless {
				late++
			}
		}
	}
	if late*2 > all {
		c.AddProblem("%d of %d responses without an end were read for more than %d bytes", late, all, maxEndless)
	}
	c.Endless = all
}

// CheckEngines checks all requests that the engines have received so far.
func (c *Checker) CheckEngines() {
	c.mu.Lock()
	engines, calmSince := append([]*Engine(nil), c.engines...), c.calmSince
	notRun := make(map[string]string, len(c.notRun))
	for id, where := range c.notRun {
		notRun[id] = where
	}
	c.mu.Unlock()
	c.checkAccounts(engines)
	c.checkPoison(engines)
	c.checkCrashingPart(engines)
	c.checkEngineLimit()
	c.checkPushback(engines)
	c.checkResumptions()
	c.checkUploads()
	c.checkEndless(engines)
	ran, reached := make(map[string]int), make(map[string]int)
	for _, e := range engines {
		acked := e.DrainAckedAt()
		for _, a := range e.Arrivals() {
			k, known := kindOfPath(a.Path)
			if !known {
				continue // a probe for the effective version
			}
			reached[a.Request]++
			if a.Ran {
				ran[a.Request]++
			}
			c.checkArrival(e, k, a, notRun, calmSince, acked)
			if k.atMostOnce && ran[a.Request] > 1 {
				c.AddProblem("request %s (%s) ran %d times, last at %s", a.Request, k.name, ran[a.Request], e.ID)
			}
			if reached[a.Request] > k.maxAttempts {
				c.AddProblem("request %s (%s) reached %d engines, and %d are the most", a.Request, k.name, reached[a.Request], k.maxAttempts)
			}
		}
	}
}

// checkArrival makes the checks that need only one received request.
func (c *Checker) checkArrival(e *Engine, k requestKind, a platformtest.Arrival, notRun map[string]string, calmSince, acked time.Time) {
	if where, refused := notRun[a.Request]; refused && a.Ran {
		c.AddProblem("request %s (%s) ran at %s, and was refused as not run by %s", a.Request, k.name, e.ID, where)
	}
	if k.service != e.Service {
		c.AddProblem("request %s (%s) reached %s of service %s", a.Request, k.name, e.ID, e.Service)
	}
	if k.region != "" && k.region != e.Region {
		c.AddProblem("request %s (%s) reached %s in %s, and is bound to %s", a.Request, k.name, e.ID, e.Region, k.region)
	}
	if !acked.IsZero() && !calmSince.IsZero() && acked.After(calmSince.Add(drainTime)) && a.At.After(acked.Add(drainTime)) {
		c.AddProblem("request %s (%s) reached %s %v after it was acknowledged that it drains", a.Request, k.name, e.ID, a.At.Sub(acked))
	}
}
