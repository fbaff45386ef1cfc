package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/retry"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// Load and engines of the simulations.
const (
	simStep          = 10 * time.Millisecond
	crashingInterval = 150 * time.Millisecond // between requests with the crashing part
	soundInterval    = 50 * time.Millisecond
	engineRestart    = 2 * time.Second // after a crash
	simAnswerTime    = time.Second     // from the begin of an answer to its end
)

// Bounds that the platform states.
const (
	contactTime          = 6 * time.Second
	maxSendsAfterContact = 3
)

// crashSim simulates two regions whose engines crash when they begin to answer requests with one
// part in their prompts.
type crashSim struct {
	*testEnv
	t           testing.TB
	random      *rand.Rand
	begin       time.Time
	partitioned bool // the regions can't reach each other
	attempts    int  // engines that one request may be sent to
	// crashing reports whether the part crashes engines by now.
	crashing  func(part string, elapsed time.Duration) bool
	engineOf  map[string]*simEngine // by ID
	started   int
	crashes   []time.Duration
	crashedBy map[string][]time.Duration // the crashes by part
	suspected []simSuspect
	requests  int
	// onMessage is called for each message that a gateway sends, if not nil.
	onMessage func(m rollup.Message, recipients int)
}

// simEngine is one incarnation of an engine.
type simEngine struct {
	id, dataCentre string
	crashedAt      time.Time // zero while it runs
	runs           []*simRun
}

// simRun is one request that an engine runs.
type simRun struct {
	gateway  *dispatch.Dispatcher
	ticket   *dispatch.Ticket
	req      dispatch.Request
	beginsAt time.Time
	begun    bool
	attempts int
	result   *simSend
}

// simSend is one request of a caller.
type simSend struct {
	at        time.Duration
	part      string // the crashing part that the request has; "" for none
	companion bool
	reached   []time.Duration // when it was sent to engines that ran it
	begun     bool            // its first attempt has begun an answer
	rejected  bool            // because of crashes
}

// simSuspect is an engine that a gateway probes.
type simSuspect struct {
	gateway *dispatch.Dispatcher
	suspect dispatch.SuspectEngine
	at      time.Time
}

// newCrashSim returns a simulation with a seed, and with that many gateways and engines in each of two regions.
func newCrashSim(t testing.TB, seed uint64, gateways, engines int) *crashSim {
	t.Helper()
	env := newTestEnv(gateways, 0)
	for i := range gateways {
		name := fmt.Sprint("k", i)
		env.hosts = append(env.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: "kano", Peer: "10.9.0." + fmt.Sprint(i) + ":1"})
		env.gateways = append(env.gateways, newSimGateway(env, name, "kano"))
	}
	env.applyState()
	s := &crashSim{testEnv: env, t: t, random: rand.New(rand.NewPCG(1, seed)), begin: env.now, attempts: 1, engineOf: make(map[string]*simEngine), crashedBy: make(map[string][]time.Duration), crashing: func(part string, _ time.Duration) bool { return part == "crashing" }}
	for range engines {
		s.startEngine("a")
		s.startEngine("c")
	}
	return s
}

func newSimGateway(env *testEnv, name, region string) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Deps{
		Name: name, Region: region, RegionOf: map[string]string{"a": "lagos", "b": "lagos", "c": "kano"}, Engines: env.engines,
		Peers: func() []roster.Host { return env.hosts }, RoundTripTo: fixedRoundTrip, RetryBudget: retry.Policy{Share: 0.2, Extra: 10, Window: 10 * time.Second},
		Log: zap.NewNop(), Clock: env.clock,
	})
}

func (s *crashSim) elapsed() time.Duration { return s.now.Sub(s.begin) }

func (s *crashSim) startEngine(dataCentre string) {
	s.started++
	e := &simEngine{id: fmt.Sprintf("i-%d", s.started), dataCentre: dataCentre}
	s.engineOf[e.id] = e
	s.engines.Heartbeat(registry.Engine{ID: e.id, Service: "review", Slots: 16, DataCentre: dataCentre, Sequence: 1, Address: "10.1.0.1:" + e.id})
}

// send sends a request to a random gateway.
func (s *crashSim) send(blocks ...string) *simSend {
	s.requests++
	req := dispatch.Request{ID: fmt.Sprint("r", s.requests), Route: "chat", Service: "review", Fingerprint: quarantine.Fingerprint(s.requests), Prompt: dispatch.Prompt{Model: "m", InputTokens: 500, OutputTokens: 50}}
	result := &simSend{at: s.elapsed()}
	for _, block := range blocks {
		req.Prompt.Blocks = append(req.Prompt.Blocks, dispatch.Block{ID: block, Tokens: 100})
		if s.crashing(block, s.elapsed()) {
			result.part = block
		}
		result.companion = result.companion || block == "companion"
	}
	req.Prompt.Blocks = append(req.Prompt.Blocks, dispatch.Block{ID: "own-" + req.ID, Tokens: 100})
	run := &simRun{gateway: s.gateways[s.random.IntN(len(s.gateways))], req: req, result: result}
	s.attempt(run)
	return result
}

// attempt sends a run's request to an engine that accepts its connection.
func (s *crashSim) attempt(run *simRun) {
	for range 3 {
		ticket, err := run.gateway.Acquire(run.req)
		var rejection *request.NotRun
		if errors.As(err, &rejection) && rejection.Reason == request.ReasonQuarantined {
			run.result.rejected = true
			must.Positive(s.t, rejection.RetryAfter)
		}
		if err != nil {
			return
		}
		run.req.Tried = append(run.req.Tried, ticket.Engine)
		e, ok := s.engineOf[ticket.Engine]
		if !ok || !e.crashedAt.IsZero() {
			ticket.Done(dispatch.Unreached)
			continue
		}
		run.ticket, run.begun = ticket, false
		run.attempts++
		run.beginsAt = s.now.Add(100*time.Millisecond + time.Duration(s.random.Int64N(int64(250*time.Millisecond))))
		run.result.reached = append(run.result.reached, s.elapsed())
		e.runs = append(e.runs, run)
		return
	}
}

// crash ends an engine and breaks the connections of its runs.
func (s *crashSim) crash(e *simEngine) {
	e.crashedAt = s.now
	s.crashes = append(s.crashes, s.elapsed())
	runs := e.runs
	e.runs = nil
	for _, run := range runs {
		run.ticket.Done(dispatch.Broken)
		for len(run.gateway.SuspectEngines()) > 0 {
			s.suspected = append(s.suspected, simSuspect{run.gateway, <-run.gateway.SuspectEngines(), s.now.Add(30 * time.Millisecond)})
		}
	}
	for _, run := range runs {
		if !run.begun && run.attempts < s.attempts {
			s.attempt(run)
		}
	}
}

// step advances the simulation by simStep.
func (s *crashSim) step() {
	s.now = s.now.Add(simStep)
	for _, id := range s.engineIDs() {
		e := s.engineOf[id]
		s.stepRuns(e)
		if !e.crashedAt.IsZero() && s.now.Sub(e.crashedAt) >= engineRestart {
			s.engines.MarkLeft(e.id, 0)
			delete(s.engineOf, e.id)
			s.startEngine(e.dataCentre)
		}
	}
	s.suspected = slices.DeleteFunc(s.suspected, func(p simSuspect) bool {
		due := !s.now.Before(p.at)
		if due {
			p.gateway.ConnectionRefused(p.suspect)
		}
		return due
	})
	if s.elapsed()%rollup.ReportInterval == 0 {
		s.exchange()
		s.tick()
	}
	if s.elapsed()%time.Second == 0 {
		for _, e := range s.engineOf {
			if known, _ := s.engines.Get(e.id); e.crashedAt.IsZero() {
				known.Sequence++
				s.engines.Heartbeat(known)
			}
		}
	}
}

// stepRuns begins and ends the answers of an engine that are due.
func (s *crashSim) stepRuns(e *simEngine) {
	for _, run := range slices.Clone(e.runs) {
		if !run.begun && !s.now.Before(run.beginsAt) {
			if i := slices.IndexFunc(run.req.Prompt.Blocks, func(b dispatch.Block) bool { return s.crashing(b.ID, s.elapsed()) }); i >= 0 {
				part := run.req.Prompt.Blocks[i].ID
				s.crashedBy[part] = append(s.crashedBy[part], s.elapsed())
				s.crash(e)
				return
			}
			run.ticket.RecordFirstByte(true)
			run.begun = true
			run.result.begun = run.attempts == 1
		}
		if run.begun && s.now.Sub(run.beginsAt) >= simAnswerTime {
			run.ticket.Done(dispatch.Answered)
			e.runs = slices.DeleteFunc(e.runs, func(o *simRun) bool { return o == run })
		}
	}
}

func (s *crashSim) engineIDs() []string {
	var ids []string
	for id := range s.engineOf {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// exchange delivers all reports, except between regions that are partitioned.
func (s *crashSim) exchange() {
	for i, from := range s.gateways {
		for _, out := range from.Outgoing() {
			if s.onMessage != nil {
				s.onMessage(out.Message, len(out.To))
			}
			for j, to := range s.gateways {
				if (!s.partitioned || s.hosts[i].Region == s.hosts[j].Region) && slices.Contains(out.To, s.hosts[j].Peer) {
					to.Receive(out.Message)
				}
			}
		}
	}
}

// simLoad is the requests of one simulation.
type simLoad struct {
	// crashing and sound return the parts of the n-th request, but the last, which is always
	// its own.
	crashing func(n int) []string
	sound    func(n int) []string
}

// run sends the load for d and returns the sends with the crashing part and the sound ones.
func (s *crashSim) run(load simLoad, d time.Duration) (crashing, sound []*simSend) {
	for from := s.elapsed(); s.elapsed()-from < d; {
		s.step()
		if load.crashing != nil && s.elapsed()%crashingInterval == 0 {
			crashing = append(crashing, s.send(load.crashing(len(crashing))...))
		}
		if s.elapsed()%soundInterval == 0 {
			sound = append(sound, s.send(load.sound(len(sound))...))
		}
	}
	return crashing, sound
}

// sendsAfterContact returns the most requests with one crashing part that reached engines later
// than contactTime after the fifth crash under that part.
func (s *crashSim) sendsAfterContact(crashing []*simSend) int {
	late := make(map[string]int)
	most := 0
	for _, send := range crashing {
		crashes := s.crashedBy[send.part]
		if len(crashes) < 5 {
			continue
		}
		for _, at := range send.reached {
			if at > crashes[4]+contactTime {
				late[send.part]++
				most = max(most, late[send.part])
			}
		}
	}
	return most
}

// shareBegun returns the share of requests sent between two times whose first attempt began.
func shareBegun(sends []*simSend, from, to time.Duration) float64 {
	n, begun := 0, 0
	for _, send := range sends {
		if send.at >= from && send.at < to {
			n++
			if send.begun {
				begun++
			}
		}
	}
	return float64(begun) / float64(max(1, n))
}

// simSeeds is how many seeds each simulation is run with.
const simSeeds = 3

func forEachSeed(t *testing.T, name string, test func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range uint64(simSeeds) {
		t.Run(fmt.Sprint(name, "/", seed), func(t *testing.T) { test(t, seed) })
	}
}

func middle(n int) string { return fmt.Sprint("middle-", n%5) }

func soundParts(n int) []string { return []string{"first", middle(n)} }

// TestPartThatCrashesEnginesIsQuarantined guards against a part of prompts that crashes engine after
// engine, since no two requests with it are alike, and against sound requests that are rejected
// because they share other parts with those.
func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	for name, test := range map[string]struct {
		load        simLoad
		gateways    int // in each region
		attempts    int
		partitioned bool
		soundUntil  time.Duration // before that the part crashes nothing, and half of the sound requests have it
	}{
		"second part":              {load: simLoad{func(int) []string { return []string{"first", "crashing"} }, soundParts}},
		"third part":               {load: simLoad{func(n int) []string { return []string{"first", middle(n), "crashing"} }, soundParts}},
		"first part":               {load: simLoad{func(n int) []string { return []string{"crashing", middle(n)} }, soundParts}},
		"before others":            {load: simLoad{func(n int) []string { return []string{"first", "crashing", middle(n)} }, soundParts}},
		"two attempts":             {load: simLoad{func(int) []string { return []string{"first", "crashing"} }, soundParts}, attempts: 2},
		"partitioned":              {load: simLoad{func(int) []string { return []string{"first", "crashing"} }, soundParts}, partitioned: true},
		"many gateways":            {load: simLoad{func(int) []string { return []string{"first", "crashing"} }, soundParts}, gateways: 40},
		"answered well until then": {load: simLoad{func(int) []string { return []string{"first", "crashing"} }, soundParts}, soundUntil: 5 * time.Second},
		"two crashing parts":       {load: simLoad{func(n int) []string { return []string{"first", []string{"crashing", "crashing too"}[n%2]} }, soundParts}},
		"three crashing parts":     {load: simLoad{func(n int) []string { return []string{"first", fmt.Sprint("crashing-", n%3)} }, soundParts}},
		"always with another part": {load: simLoad{
			func(int) []string { return []string{"first", "crashing", "companion"} },
			func(n int) []string {
				if n%10 == 0 {
					return []string{"first", "companion"}
				}
				return soundParts(n)
			},
		}},
	} {
		forEachSeed(t, name, func(t *testing.T, seed uint64) {
			s := newCrashSim(t, seed, max(3, test.gateways), 12)
			s.attempts, s.partitioned = max(1, test.attempts), test.partitioned
			s.crashing = func(part string, elapsed time.Duration) bool {
				return strings.HasPrefix(part, "crashing") && elapsed > test.soundUntil
			}
			_, before := s.run(simLoad{nil, test.load.sound}, time.Second)
			if test.soundUntil > 0 {
				s.run(test.load, test.soundUntil-time.Second)
			}
			begin := s.elapsed()
			crashing, sound := s.run(test.load, 25*time.Second)
			usual := shareBegun(before, 0, time.Hour)
			late := s.sendsAfterContact(crashing)
			var fifth time.Duration
			if len(s.crashes) > 0 {
				fifth = s.crashes[min(4, len(s.crashes)-1)]
			}
			share := shareBegun(sound, fifth+2*contactTime, begin+24*time.Second)
			t.Logf("%d crashes, %d sends of the part later than %v after the fifth; sound requests that began: %.2f usually, %.2f meanwhile, %.2f later", len(s.crashes), late, contactTime, usual, shareBegun(sound, begin, fifth+contactTime), share)
			must.LessEq(t, maxSendsAfterContact, late)
			must.GreaterEq(t, usual/2, share)
			var companions []*simSend
			for _, send := range sound {
				if send.companion {
					companions = append(companions, send)
				}
			}
			if len(companions) > 0 {
				must.GreaterEq(t, usual/2, shareBegun(companions, fifth+2*contactTime, begin+24*time.Second), must.Sprint("sound requests with the other part"))
			}
		})
	}
}

// TestPowerLossQuarantinesNoPart guards against parts that are rejected because the engines that
// ran them lost power: half of all engines three times, and all of them four times in a row.
func TestPowerLossQuarantinesNoPart(t *testing.T) {
	for name, test := range map[string]struct {
		losses int
		share  int // one engine in so many is lost
	}{"half of the engines": {3, 2}, "all engines": {4, 1}} {
		forEachSeed(t, name, func(t *testing.T, seed uint64) {
			s := newCrashSim(t, seed, 3, 12)
			load := simLoad{nil, soundParts}
			s.run(load, 2*time.Second)
			for range test.losses {
				for i, id := range s.engineIDs() {
					if e := s.engineOf[id]; i%test.share == 0 && e.crashedAt.IsZero() {
						s.crash(e)
					}
				}
				s.run(load, engineRestart+500*time.Millisecond)
			}
			_, after := s.run(load, 5*time.Second)
			must.Greater(t, 0.95, shareBegun(after, 0, s.elapsed()-time.Second))
			for _, send := range after {
				must.False(t, send.rejected)
			}
		})
	}
}

// TestNewGatewayLearnsOfCrashingParts guards against a gateway that starts later and sends a
// quarantined part to engines.
func TestNewGatewayLearnsOfCrashingParts(t *testing.T) {
	s := newCrashSim(t, 1, 3, 12)
	s.run(simLoad{func(int) []string { return []string{"first", "crashing"} }, soundParts}, 10*time.Second)
	crashes := len(s.crashes)
	s.run(simLoad{nil, soundParts}, 5*time.Second)
	s.hosts[0].Name = "g-new"
	s.gateways[0] = newSimGateway(s.testEnv, "g-new", "lagos")
	s.applyState()
	s.run(simLoad{nil, soundParts}, 3*time.Second)
	s.run(simLoad{func(int) []string { return []string{"first", "crashing"} }, soundParts}, 5*time.Second)
	must.Eq(t, crashes, len(s.crashes))
}
