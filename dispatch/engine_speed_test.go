package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/registry"
)

// speedSim sends requests through random gateways to engines of different speeds.
type speedSim struct {
	*testEnv
	t      *testing.T
	random *rand.Rand
	speeds map[string]float64 // by engine ID, 1 if missing
	// busyUntil is when each engine has read all its prompts, one after the other.
	busyUntil map[string]time.Time
	// senders is the number of gateways that send requests; the others only receive reports.
	senders int
	// tried returns the engines that a request must not be sent to.
	tried   func(request int) []string
	pending []pendingAnswer
	sent    int
	silent  bool // no reports are exchanged
}

type pendingAnswer struct {
	ticket *dispatch.Ticket
	at     time.Time
}

func newSpeedSim(t *testing.T, gateways, engines int) *speedSim {
	return &speedSim{testEnv: newTestEnv(gateways, engines), t: t, random: rand.New(rand.NewPCG(1, 1)), speeds: map[string]float64{"i-0": 0.4, "i-1": 2}, busyUntil: make(map[string]time.Time), senders: gateways - 1}
}

// run sends so many requests per second, and answers them by the speeds of their engines.
func (s *speedSim) run(length time.Duration, perSecond int) {
	const interval = 5 * time.Millisecond
	start := s.now
	next := start
	for steps := 0; s.now.Sub(start) < length; steps++ {
		for ; perSecond > 0 && next.Before(s.now); next = next.Add(time.Second / time.Duration(perSecond)) {
			s.sent++
			req := dispatch.Request{ID: fmt.Sprint("r", s.sent), Service: "review", Prompt: dispatch.Prompt{InputTokens: 1800, OutputTokens: 50}}
			if s.tried != nil {
				req.Tried = s.tried(s.sent)
			}
			ticket := acquire(s.t, s.gateways[s.random.IntN(s.senders)], req)
			s.pending = append(s.pending, pendingAnswer{ticket, s.answerTime(ticket.Engine)})
		}
		remaining := s.pending[:0]
		for _, p := range s.pending {
			if p.at.After(s.now) {
				remaining = append(remaining, p)
				continue
			}
			p.ticket.RecordFirstByte(true)
			p.ticket.Done(dispatch.Answered)
		}
		s.pending = remaining
		if steps%20 == 0 && !s.silent {
			s.exchangeReports()
		}
		s.advance(interval)
	}
}

// answerTime returns when an engine answers a request that it gets now.
func (s *speedSim) answerTime(engine string) time.Time {
	speed, ok := s.speeds[engine]
	if !ok {
		speed = 1
	}
	after := func(milliseconds float64) time.Duration {
		return time.Duration(milliseconds / speed * float64(time.Millisecond))
	}
	start := s.now
	if busy := s.busyUntil[engine]; busy.After(start) {
		start = busy
	}
	s.busyUntil[engine] = start.Add(after(35 + 30*s.random.Float64()))
	return s.busyUntil[engine].Add(after(20))
}

// speed returns the speed that a gateway estimates for an engine.
func (s *speedSim) speed(gateway int, engine string) float64 {
	for _, status := range s.gateways[gateway].EngineStatuses() {
		if status.Engine == engine {
			return status.Speed
		}
	}
	s.t.Fatalf("engine %s is not known", engine)
	return 0
}

// requireSpeedsKnown checks that a gateway knows which engine is slow, and which is fast.
func (s *speedSim) requireSpeedsKnown(gateway int) {
	s.t.Helper()
	slow, mean, fast := s.speed(gateway, "i-0"), s.speed(gateway, "i-2"), s.speed(gateway, "i-1")
	s.t.Logf("gateway %d: %.2f, %.2f, %.2f", gateway, slow, mean, fast)
	must.Less(s.t, 0.65*mean, slow)
	must.Greater(s.t, 1.4*mean, fast)
}

// TestSpeedsAreKnownToAllGateways includes one that has sent nothing, in a region of few
// gateways, which report to each other directly, and of many: within two seconds of traffic. When
// the slow engine becomes fast and the fast one slow, it takes a second more, since the slow one
// has had hardly any traffic.
func TestSpeedsAreKnownToAllGateways(t *testing.T) {
	for _, gateways := range []int{2, 8, 69} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			s := newSpeedSim(t, gateways, 12)
			s.run(2*time.Second, 150)
			s.requireSpeedsKnown(0)
			s.requireSpeedsKnown(gateways - 1)
			s.speeds = map[string]float64{"i-1": 0.4, "i-0": 2}
			s.run(3*time.Second, 150)
			must.Greater(t, s.speed(gateways-1, "i-1"), s.speed(gateways-1, "i-0"))
		})
	}
}

// TestSpeedsWithoutReports stops the exchange of reports: a gateway goes on with what it sees
// itself, and one that sees nothing forgets.
func TestSpeedsWithoutReports(t *testing.T) {
	s := newSpeedSim(t, 2, 12)
	s.run(3*time.Second, 150)
	s.silent = true
	s.run(3*time.Second, 150)
	// The slow engine gets so few requests that what is known of it lapses slowly.
	must.Less(t, 0.8, s.speed(0, "i-0"))
	must.Greater(t, 1.4, s.speed(0, "i-1"))
	s.run(12*time.Second, 150)
	must.Eq(t, 1, s.speed(1, "i-0"))
	must.Eq(t, 1, s.speed(1, "i-1"))
	s.run(30*time.Second, 0)
	must.Eq(t, 1, s.speed(0, "i-0"))
	must.Eq(t, 1, s.speed(0, "i-1"))
}

// TestRestartedEngineHasNoSpeed restarts an engine under its address.
func TestRestartedEngineHasNoSpeed(t *testing.T) {
	s := newSpeedSim(t, 8, 12)
	s.run(3*time.Second, 150)
	s.heartbeat(registry.Engine{ID: "i-0", Born: 5})
	for gateway := range s.gateways {
		must.Eq(t, 1, s.speed(gateway, "i-0"))
	}
	s.speeds["i-0"] = 1
	s.run(2*time.Second, 150)
	must.Between(t, 0.75, s.speed(7, "i-0")/s.speed(7, "i-2"), 1.33)
}

// TestPauseOfAGatewayIsNotTheEnginesSpeed suspends a gateway that waits for answers of one engine,
// for so short a time that what it knows of the others still counts, and for a long one, after
// which it knows nothing.
func TestPauseOfAGatewayIsNotTheEnginesSpeed(t *testing.T) {
	for _, pause := range []time.Duration{1500 * time.Millisecond, time.Minute} {
		t.Run(pause.String(), func(t *testing.T) {
			s := newSpeedSim(t, 2, 12)
			s.speeds = map[string]float64{"i-1": 2}
			var resumedAt time.Time
			s.gateways[0].SuspendedSince = func(since time.Time) bool { return since.Before(resumedAt) }
			s.run(3*time.Second, 150)
			s.run(300*time.Millisecond, 0) // until all are answered
			var waiting []*dispatch.Ticket
			var others []string
			for i := range 12 {
				if i != 3 {
					others = append(others, fmt.Sprint("i-", i))
				}
			}
			for i := range 8 {
				waiting = append(waiting, acquire(t, s.gateways[0], dispatch.Request{ID: fmt.Sprint("w", i), Service: "review", Prompt: dispatch.Prompt{InputTokens: 1800, OutputTokens: 50}, Tried: others}))
			}
			s.now = s.now.Add(pause)
			resumedAt = s.now
			for _, ticket := range waiting {
				ticket.RecordFirstByte(true)
				ticket.Done(dispatch.Answered)
			}
			s.run(300*time.Millisecond, 0)
			t.Logf("speeds %.2f, %.2f", s.speed(0, "i-3"), s.speed(0, "i-1"))
			must.Between(t, 0.8, s.speed(0, "i-3"), 1.25)
			if pause == time.Minute {
				must.Eq(t, 1, s.speed(0, "i-1"))
			}
		})
	}
}

// TestFullEnginesDontSeemSlow has half of the requests use a fourth of the engines, which read
// nearly all the time.
func TestFullEnginesDontSeemSlow(t *testing.T) {
	for _, gateways := range []int{2, 8} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			s := newSpeedSim(t, gateways, 12)
			s.speeds = nil
			var others []string
			for i := 3; i < 12; i++ {
				others = append(others, fmt.Sprint("i-", i))
			}
			s.tried = func(request int) []string { return others[:len(others)*(request%2)] }
			for range 5 {
				s.run(2*time.Second, 108)
				sum := 0.0
				for i := range 3 {
					sum += math.Log(s.speed(0, fmt.Sprint("i-", i))) / 3
				}
				t.Logf("%.2f", math.Exp(sum))
				must.Between(t, 0.75, math.Exp(sum), 1.33)
			}
		})
	}
}

// TestPromptsHomesFollowSpeed sends prompts that share parts: fast engines must be home to
// more of them than slow ones.
func TestPromptsHomesFollowSpeed(t *testing.T) {
	s := newSpeedSim(t, 2, 12)
	s.run(5*time.Second, 150)
	s.run(time.Second, 0) // until all are answered
	homes := make(map[string]int)
	for i := range 400 {
		ticket := acquire(t, s.gateways[1], longRequest(fmt.Sprint("home", i), fmt.Sprint("shared", i)))
		homes[ticket.Engine]++
		ticket.Done(dispatch.Abandoned)
	}
	t.Log(homes)
	must.Less(t, homes["i-2"], homes["i-0"])
	must.Greater(t, homes["i-2"], homes["i-1"])
}

// TestTokenTimeOfStreams relays a stream with an event each 60 ms: all gateways must know the
// time per token within a second, and pauses of this gateway or its caller must not count.
func TestTokenTimeOfStreams(t *testing.T) {
	env := newTestEnv(2, 1)
	model := *services[0].Model
	model.EventTokens = 6
	env.applyServices([]catalog.Service{{Name: "review", ColdRate: 2, Model: &model}})
	suspended := false
	env.gateways[0].SuspendedSince = func(time.Time) bool { return suspended }
	ticket := acquire(t, env.gateways[0], longRequest("r", "p"))
	env.advance(200 * time.Millisecond)
	ticket.RecordFirstByte(true)
	stream := func(events int, delayed bool) {
		for range events {
			ticket.RecordEvents(1, delayed)
			env.exchangeReports()
			env.advance(60 * time.Millisecond)
		}
	}
	requireTokenTime := func() {
		t.Helper()
		for _, g := range env.gateways {
			must.Between(t, 9*time.Millisecond, g.EngineStatuses()[0].TokenTime, 11*time.Millisecond)
		}
	}
	stream(17, false)
	requireTokenTime()
	env.advance(2 * time.Second)
	stream(1, true) // the caller took so long
	stream(12, false)
	requireTokenTime()
	suspended = true
	env.now = env.now.Add(2 * time.Second)
	stream(1, false)
	suspended = false
	stream(17, false)
	requireTokenTime()
}
