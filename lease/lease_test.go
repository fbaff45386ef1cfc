package lease_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/lease"
)

const (
	leaseDuration = 3 * time.Second
	decideTimeout = 5 * time.Second
)

// host is one entry host, whose clock runs at a rate of its own.
type host struct {
	name, dc     string
	holder       *lease.Holder
	up           bool
	rate         float64 // of its clock, relative to real time
	incarnations int
	round        int
	roundSentAt  time.Time // start of the current round of peer requests, by its clock
	roundSeq     uint64
	grants       []lease.RenewalReply
}

// simulation runs two data centres of hosts, one control log, and at most one leader at a
// time, in virtual time. Each new leader starts with an empty tally.
type simulation struct {
	t               *testing.T
	random          *rand.Rand
	now             time.Duration // real time
	hosts           []*host
	state           *control.State
	tally           *control.AckTracker // nil while there is no leader
	leaderChangedAt time.Duration
	partitioned     map[string]bool // data centres partitioned from the leader
	isolated        map[string]bool // hosts partitioned from all others
	queue           events
	lastSerial      int
	minSeq          map[string]uint64 // by data centre: oldest view under which its hosts may serve
	changeCount     int
	decisions       map[control.Status]int
	peerRenewals    int
}

// event is a delivery or a fault that runs at a point of virtual time. serial orders events of
// the same time.
type event struct {
	at     time.Duration
	serial int
	run    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

var epoch = time.Unix(1_700_000_000, 0)

// clock returns the time on the host's own clock.
func (h *host) clock(now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * h.rate))
}

func (s *simulation) leaderClock() time.Time { return epoch.Add(s.now) }

// transmit delivers a message after a random delay. It loses some messages and delays a few
// by seconds.
func (s *simulation) transmit(deliver func()) {
	r := s.random.Float64()
	delay := time.Duration(s.random.Int64N(int64(200 * time.Millisecond)))
	switch {
	case r < 0.05:
		return
	case r < 0.1:
		delay += time.Duration(s.random.Int64N(int64(4 * time.Second)))
	}
	s.lastSerial++
	heap.Push(&s.queue, event{s.now + delay, s.lastSerial, deliver})
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 11)), state: control.NewState(),
		partitioned: map[string]bool{}, isolated: map[string]bool{}, minSeq: map[string]uint64{}, decisions: map[control.Status]int{},
	}
	var firstChange declare.Change
	firstChange.ID = "first"
	put := func(o declare.Object) { firstChange.Puts = append(firstChange.Puts, declare.Envelope{Object: o}) }
	put(declare.Service{Name: "s", Type: declare.ServicePlain})
	for _, dc := range []string{"x", "y"} {
		put(declare.Region{Name: "region-" + dc})
		put(declare.DataCentre{Name: dc, Region: "region-" + dc})
		put(newEngine(dc, 0))
		for i := range 3 {
			name := fmt.Sprintf("%s%d", dc, i)
			put(newHost(name, dc))
			h := &host{name: name, dc: dc, rate: 0.955 + 0.09*s.random.Float64()}
			s.hosts = append(s.hosts, h)
			s.startHost(h)
		}
	}
	outcome := s.apply(control.Command{Propose: &control.Propose{Change: firstChange}})
	must.Eq(t, control.StatusAccepted, outcome.Status)
	s.electLeader()
	return s
}

func newEngine(dc string, cost float64) declare.Engine {
	return declare.Engine{Name: "e-" + dc, Service: "s", DataCentre: dc, Address: "127.0.0.1:1", Slots: 1, Cost: cost}
}

func newHost(name, dc string) declare.Host {
	address := "127.0.0.1:1"
	return declare.Host{Name: name, DataCentre: dc, Callers: address, Handover: address, Control: address, Operators: address}
}

func (s *simulation) apply(c control.Command) control.Outcome {
	data, err := json.Marshal(c)
	must.NoError(s.t, err)
	return s.state.Apply(0, data).(control.Outcome)
}

// startHost starts a new incarnation of a host, which has no state from earlier ones.
func (s *simulation) startHost(h *host) {
	h.incarnations++
	h.up = true
	h.grants = nil
	h.holder = lease.New(h.name, h.dc, fmt.Sprintf("%s/%d", h.name, h.incarnations), leaseDuration)
}

func (s *simulation) electLeader() {
	s.tally = control.NewAckTracker(control.Timing{LeaseDuration: leaseDuration, DecideTimeout: decideTimeout})
	s.leaderChangedAt = s.now
}

// isRunning reports whether the given incarnation of the host is still running.
func (h *host) isRunning(incarnation int) bool { return h.up && h.incarnations == incarnation }

// sendReport sends a host's periodic report to the leader, which renews the host's lease and
// returns the current view.
func (s *simulation) sendReport(h *host) {
	if s.partitioned[h.dc] || s.isolated[h.name] {
		return
	}
	incarnation, sentAt, report := h.incarnations, h.clock(s.now), h.holder.Report(h.clock(s.now))
	s.transmit(func() {
		if s.tally == nil || s.partitioned[h.dc] {
			return
		}
		view := s.state.View()
		renewed := s.tally.RecordReport(s.leaderClock(), report, view)
		s.transmit(func() {
			if h.isRunning(incarnation) && renewed {
				h.holder.ApplyLeaderRenewal(sentAt, view.Seq)
			}
		})
		s.transmit(func() {
			if h.isRunning(incarnation) && !s.partitioned[h.dc] && !s.isolated[h.name] {
				h.holder.AdoptView(view)
			}
		})
	})
}

// requestPeerGrants asks the hosts of the same data centre to renew a host's lease.
func (s *simulation) requestPeerGrants(h *host) {
	h.round++
	round, incarnation := h.round, h.incarnations
	h.roundSentAt, h.roundSeq, h.grants = h.clock(s.now), h.holder.View().Seq, nil
	request := h.holder.RenewalRequest()
	for _, peer := range s.hosts {
		if peer.dc != h.dc || peer == h {
			continue
		}
		s.transmit(func() {
			if !peer.up || s.isolated[peer.name] || s.isolated[h.name] {
				return
			}
			grant, view := peer.holder.HandleRenewalRequest(peer.clock(s.now), request), peer.holder.View()
			s.transmit(func() {
				if !h.isRunning(incarnation) || h.round != round {
					return
				}
				if grant.Seq > h.holder.View().Seq {
					h.holder.AdoptView(view)
				}
				h.grants = append(h.grants, grant)
				if h.holder.ApplyPeerGrants(h.roundSentAt, h.roundSeq, h.grants) {
					s.peerRenewals++
				}
			})
		})
	}
}

// proposeChange proposes a change that affects one data centre or both, or one that replaces
// a host.
func (s *simulation) proposeChange() {
	if s.tally == nil || s.state.View().Pending != nil {
		return
	}
	s.changeCount++
	c := declare.Change{ID: fmt.Sprint("change-", s.changeCount), Base: s.state.View().Config.Revision()}
	kind := s.random.IntN(4)
	for i, dc := range []string{"x", "y"} {
		if kind == i || kind == 2 {
			c.Puts = append(c.Puts, declare.Envelope{Object: newEngine(dc, float64(s.changeCount))})
		}
	}
	if kind == 3 {
		s.replaceHost(&c)
	}
	s.apply(control.Command{Propose: &control.Propose{Change: c}})
	if s.random.Float64() < 0.4 {
		s.injectFaultsDuringChange()
	}
}

// injectFaultsDuringChange partitions a data centre while its hosts are about to acknowledge a
// change, isolates or restarts up to two hosts, and sometimes stops the leader. An error in
// the protocol is most likely to show at this moment.
func (s *simulation) injectFaultsDuringChange() {
	randomDelay := func() time.Duration { return time.Duration(s.random.Int64N(int64(400 * time.Millisecond))) }
	dc := []string{"x", "y"}[s.random.IntN(2)]
	schedule := func(delay time.Duration, run func()) {
		s.lastSerial++
		heap.Push(&s.queue, event{s.now + delay, s.lastSerial, run})
	}
	schedule(randomDelay(), func() { s.partitioned[dc] = true })
	for range s.random.IntN(3) {
		h := s.hosts[s.random.IntN(len(s.hosts))]
		if s.random.IntN(2) == 0 {
			schedule(randomDelay(), func() { s.isolated[h.name] = true })
			continue
		}
		schedule(randomDelay(), func() { s.startHost(h) })
	}
	if s.random.IntN(3) == 0 {
		schedule(randomDelay(), func() { s.tally, s.leaderChangedAt = nil, s.now })
	}
	schedule(6*time.Second+randomDelay(), func() {
		s.partitioned[dc] = false
		clear(s.isolated)
	})
}

// replaceHost stops a host permanently and adds the declaration of its replacement to c.
func (s *simulation) replaceHost(c *declare.Change) {
	index := s.random.IntN(len(s.hosts))
	old := s.hosts[index]
	old.up = false
	goneHost := newHost(old.name, old.dc)
	goneHost.State = declare.HostTerminated
	name := fmt.Sprintf("%s-%d", old.dc, s.changeCount)
	c.Puts = append(c.Puts, declare.Envelope{Object: goneHost}, declare.Envelope{Object: newHost(name, old.dc)})
	h := &host{name: name, dc: old.dc, rate: old.rate}
	s.hosts[index] = h
	s.startHost(h)
}

func (s *simulation) decidePending() {
	view := s.state.View()
	if s.tally == nil || view.Pending == nil {
		return
	}
	decision := s.tally.Decide(s.leaderClock(), view)
	if !decision.Decided {
		return
	}
	outcome := s.apply(control.Command{Decide: &control.Decide{ID: view.Pending.Change.ID, Accept: decision.Accept, Cut: decision.Unreachable}})
	s.decisions[outcome.Status]++
	if outcome.Status == control.StatusAccepted {
		for _, dc := range view.Pending.Matters {
			s.minSeq[dc] = view.Seq // no host may serve under an older view from now on
		}
	}
}

func (s *simulation) injectRandomFault() {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch r := s.random.Float64(); {
	case r < 0.2:
		s.startHost(h) // an immediate restart
	case r < 0.24:
		h.up = false
	case r < 0.4:
		if !h.up {
			s.startHost(h)
		}
	case r < 0.5:
		s.partitioned[h.dc] = true
	case r < 0.75:
		s.partitioned[h.dc] = false
	case r < 0.78:
		s.tally, s.leaderChangedAt = nil, s.now // the leader is lost; its messages are still in flight
	}
	if s.tally == nil && s.now-s.leaderChangedAt > 2*time.Second {
		s.electLeader()
	}
}

const stepDuration = 10 * time.Millisecond

func (s *simulation) step(i int) {
	s.now += stepDuration
	for len(s.queue) > 0 && s.queue[0].at <= s.now {
		heap.Pop(&s.queue).(event).run()
	}
	for k, h := range s.hosts {
		if h.up && (i+k*13)%40 == 0 {
			s.sendReport(h)
			if h.holder.ExpiresAt().Sub(h.clock(s.now)) < leaseDuration*2/3 {
				s.requestPeerGrants(h)
			}
		}
	}
	if i%30 == 0 && s.random.Float64() < 0.4 {
		s.proposeChange()
	}
	if i%70 == 0 {
		s.injectRandomFault()
	}
	s.decidePending()
}

// TestNoHostServesUnderAnOlderConfiguration runs random histories with lost and delayed
// messages, partitions, restarts, replaced hosts, lost leaders and clocks of different rates.
// It checks at each step that no host serves under a view that is older than an accepted
// change of its data centre.
func TestNoHostServesUnderAnOlderConfiguration(t *testing.T) {
	seeds := uint64(60)
	if text := os.Getenv("LINENSCALE_SEEDS"); text != "" {
		parsed, err := strconv.ParseUint(text, 10, 32)
		must.NoError(t, err)
		seeds = parsed
	}
	var mu sync.Mutex
	servingChecks, peerRenewals, decisions := 0, 0, map[control.Status]int{}
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				s := newSimulation(t, seed)
				checks := s.run(seed)
				mu.Lock()
				defer mu.Unlock()
				servingChecks += checks
				peerRenewals += s.peerRenewals
				for status, k := range s.decisions {
					decisions[status] += k
				}
			})
		}
	})
	t.Logf("%d checks of a serving host, %d renewals by peers, decisions: %v", servingChecks, peerRenewals, decisions)
	must.Greater(t, 5*seeds, uint64(decisions[control.StatusAccepted]))
	must.Greater(t, seeds, uint64(decisions[control.StatusRefused]))
	must.Greater(t, seeds, uint64(peerRenewals))
}

// run simulates two minutes and returns how often it checked a serving host.
func (s *simulation) run(seed uint64) int {
	servingChecks := 0
	for i := range 12_000 {
		s.step(i)
		for _, h := range s.hosts {
			if !h.up || !h.holder.MayServe(h.clock(s.now)) {
				continue
			}
			servingChecks++
			if h.holder.View().Seq < s.minSeq[h.dc] {
				s.t.Fatalf("seed %d at %v: host %s serves under view %d, but an accepted change requires %d", seed, s.now, h.name, h.holder.View().Seq, s.minSeq[h.dc])
			}
		}
	}
	return servingChecks
}

func newView(t *testing.T, seq uint64) control.View {
	t.Helper()
	change := declare.Change{ID: "c", Puts: []declare.Envelope{
		{Object: declare.Region{Name: "r"}},
		{Object: declare.DataCentre{Name: "d", Region: "r"}},
		{Object: newHost("a", "d")},
		{Object: newHost("b", "d")},
		{Object: newHost("c", "d")},
	}}
	config, err := declare.Config{}.Apply(change)
	must.NoError(t, err)
	return control.View{Seq: seq, Config: config}
}

// TestRestartedHostDoesNotRenewPeers guards against grants by a host that has lost, by a
// restart, which views it acknowledged.
func TestRestartedHostDoesNotRenewPeers(t *testing.T) {
	now := time.Now()
	a := lease.New("a", "d", "a/2", leaseDuration)
	a.AdoptView(newView(t, 4))
	must.False(t, a.HandleRenewalRequest(now, lease.RenewalRequest{Host: "c", Seq: 4}).Granted)
	must.False(t, a.ApplyPeerGrants(now, 4, []lease.RenewalReply{{Host: "c", Granted: true, Seq: 4}}), must.Sprint("its own grant must not count"))
	must.True(t, a.ApplyPeerGrants(now, 4, []lease.RenewalReply{{Host: "c", Granted: true}, {Host: "b", Granted: true}}), must.Sprint("a majority of others may renew it"))
	must.True(t, a.MayServe(now.Add(leaseDuration-1)))
	must.False(t, a.MayServe(now.Add(leaseDuration)))
	a.ApplyLeaderRenewal(now, 4)
	must.True(t, a.HandleRenewalRequest(now, lease.RenewalRequest{Host: "c", Seq: 4}).Granted, must.Sprint("a leader has established it"))
	must.False(t, a.HandleRenewalRequest(now, lease.RenewalRequest{Host: "c", Seq: 3}).Granted, must.Sprint("never under an older view"))
}

// TestSuspendedHostLosesLease guards against a lease that outlives a suspension: the monotonic
// clock stands still, so only the wall clock shows that the lease has expired.
func TestSuspendedHostLosesLease(t *testing.T) {
	now := time.Now()
	a := lease.New("a", "d", "a/1", leaseDuration)
	a.AdoptView(newView(t, 1))
	a.ApplyLeaderRenewal(now, 1)
	afterSuspension := now.Round(0).Add(leaseDuration) // the monotonic clock stood still
	must.False(t, a.MayServe(afterSuspension))
	must.True(t, a.MayServe(now.Add(leaseDuration/2)))
}
