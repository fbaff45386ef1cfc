package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// kind is a kind of request that callers send, and what was promised for it.
type kind struct {
	name     string
	service  string
	model    bool
	once     bool // runs at most once
	attempts int  // engines that it may reach
	region   string
}

// kinds are those of the declaration.
var kinds = []kind{
	{name: "safe", service: "portal", attempts: 2},
	{name: "unsafe", service: "portal", once: true, attempts: 1},
	{name: "bound", service: "portal", attempts: 2, region: "region0"},
	{name: "chat", service: "model", model: true, once: true, attempts: 1},
	{name: "review", service: "model", model: true, attempts: 2},
}

func kindOf(path string) (kind, bool) {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	for _, k := range kinds {
		if k.name == name {
			return k, true
		}
	}
	return kind{}, false
}

// Checker holds the promises against what callers, engines and operators saw. It
// is safe for concurrent use.
type Checker struct {
	mu         sync.Mutex
	engines    []*Engine
	promised   map[string]string   // what was refused as not run, by request, with where
	accepted   int64               // highest version
	acceptedAt map[int64]time.Time // by version
	shown      map[string]shown    // by request
	calm       time.Time           // since when nothing has been done to anybody; zero while something is
	problems   []string
	Answers    map[string]int // by kind and status
	Checks     int
	SmallRan   int // requests of the account that may ask for little
	PoisonRan  int // runs of the request that crashes engines
	NeedyMost  int // requests within limitWindow at the engine that names a limit, while calm
	needy      *Engine
	Rests      int                    // that engines asked for
	disturbed  map[string][]time.Time // by IP number: when a host's process was started or got a signal
}

// NewChecker makes a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{promised: make(map[string]string), acceptedAt: make(map[int64]time.Time), shown: make(map[string]shown), Answers: make(map[string]int), disturbed: make(map[string][]time.Time)}
}

// AddEngine adds an engine whose arrivals are checked.
func (c *Checker) AddEngine(e *Engine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
}

// Accepted notes that a version was accepted.
func (c *Checker) Accepted(version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = max(c.accepted, version)
	c.acceptedAt[version] = time.Now()
}

// Newest gives the highest version that was accepted.
func (c *Checker) Newest() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.accepted
}

// SetCalm notes that from now on nothing is done to anybody, or ends that.
func (c *Checker) SetCalm(calm bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calm = time.Time{}
	if calm {
		c.calm = time.Now()
	}
}

// Problem notes a broken promise.
func (c *Checker) Problem(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.problems = append(c.problems, fmt.Sprintf(format, args...))
}

// Problems gives the promises that were broken.
func (c *Checker) Problems() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.problems...)
}

// Answer checks one answer as its caller saw it.
func (c *Checker) Answer(k kind, gateway string, r platformtest.Result) {
	c.mu.Lock()
	c.Checks++
	c.Answers[fmt.Sprintf("%s %d", k.name, r.Status)]++
	if r.Promised() {
		c.promised[r.ID] = gateway
	}
	c.mu.Unlock()
	if r.Status != http.StatusOK {
		return
	}
	want := platformtest.Answer(r.Engine, r.ID)
	if k.model {
		want = wholeStream
	}
	switch {
	case r.Engine == "":
		c.Problem("request %s (%s) at %s: a success that no engine signed", r.ID, k.name, gateway)
	case r.Whole && r.Body != want:
		c.Problem("request %s (%s) at %s: the answer ends as whole, but isn't its engine's: %q", r.ID, k.name, gateway, r.Body)
	case !strings.HasPrefix(want, r.Body):
		c.Problem("request %s (%s) at %s: the answer has other bytes than its engine's: %q", r.ID, k.name, gateway, r.Body)
	}
}

// wholeStream is what every engine streams.
var wholeStream = func() string {
	all := ""
	for n := 1; n <= 5; n++ {
		all += platformtest.Event(n)
	}
	return all
}()

// Read checks a read of the declaration that began when version was the newest
// that had been accepted.
func (c *Checker) Read(control string, newest, got int64) {
	c.mu.Lock()
	c.Checks++
	c.mu.Unlock()
	if got < newest {
		c.Problem("%s shows version %d, after %d was accepted", control, got, newest)
	}
}

// drainTime is how long after the acknowledgement an engine that drains may
// still get requests.
const drainTime = 4 * time.Second

// Engines checks what has arrived at the engines so far.
func (c *Checker) Engines() {
	c.mu.Lock()
	engines, calm := append([]*Engine(nil), c.engines...), c.calm
	promised := make(map[string]string, len(c.promised))
	for id, where := range c.promised {
		promised[id] = where
	}
	c.mu.Unlock()
	c.accounts(engines)
	c.poisoned(engines)
	c.limited()
	c.pushedBack(engines)
	ran, reached := make(map[string]int), make(map[string]int)
	for _, e := range engines {
		acked := e.DrainAcked()
		for _, a := range e.Arrivals() {
			k, known := kindOf(a.Path)
			if !known {
				continue // a question which version is in force
			}
			reached[a.Request]++
			if a.Ran {
				ran[a.Request]++
			}
			c.arrival(e, k, a, promised, calm, acked)
			if k.once && ran[a.Request] > 1 {
				c.Problem("request %s (%s) ran %d times, last at %s", a.Request, k.name, ran[a.Request], e.ID)
			}
			if reached[a.Request] > k.attempts {
				c.Problem("request %s (%s) reached %d engines, and %d are the most", a.Request, k.name, reached[a.Request], k.attempts)
			}
		}
	}
}

// arrival checks one arrival by itself.
func (c *Checker) arrival(e *Engine, k kind, a platformtest.Arrival, promised map[string]string, calm, acked time.Time) {
	if where, refused := promised[a.Request]; refused && a.Ran {
		c.Problem("request %s (%s) ran at %s, and was refused as not run by %s", a.Request, k.name, e.ID, where)
	}
	if k.service != e.Service {
		c.Problem("request %s (%s) reached %s of service %s", a.Request, k.name, e.ID, e.Service)
	}
	if k.region != "" && k.region != e.Region {
		c.Problem("request %s (%s) reached %s in %s, and is bound to %s", a.Request, k.name, e.ID, e.Region, k.region)
	}
	if !acked.IsZero() && !calm.IsZero() && acked.After(calm.Add(drainTime)) && a.At.After(acked.Add(drainTime)) {
		c.Problem("request %s (%s) reached %s %v after it was acknowledged that it drains", a.Request, k.name, e.ID, a.At.Sub(acked))
	}
}
