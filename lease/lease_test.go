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
	leaseDuration  = 3 * time.Second
	decideTimeout = 5 * time.Second
)

// host is one entry host with a clock of its own rate.
type host struct {
	name, dc string
	holder   *lease.Holder
	up       bool
	rate     float64 // of its clock
	incarnations    int
	round    int
	roundSentAt     time.Time // of the round of grants under way, by its clock
	roundSeq      uint64
	grants   []lease.Grant
}

// simulation is two data centres of hosts, one log, and at most one leader at a
// time, whose tally is new with each election.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	now     time.Duration // real time
	hosts   []*host
	state   *control.State
	tally   *control.Tally // nil while nobody leads
	leaderChangedAt  time.Duration
	partitioned     map[string]bool // data centres cut off from the leader
	isolated   map[string]bool // hosts cut off from everybody
	queue   events
	lastSerial  int
	minSeq   map[string]uint64 // per data centre: what an accepted change demands
	changeCount   int
	decisions map[control.Status]int
	peerRenewals   int // renewals by peers
}

type event struct {
	at     time.Duration
	serial int
	run     func()
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

// clock gives a host's own time.
func (h *host) clock(now time.Duration) time.Time {
	return epoch.Add(time.Duration(float64(now) * h.rate))
}

func (w *simulation) leaderClock() time.Time { return epoch.Add(w.now) }

// transmit runs do after a random delay; some messages are lost, a few are very
// late.
func (w *simulation) transmit(deliver func()) {
	r := w.random.Float64()
	delay := time.Duration(w.random.Int64N(int64(200 * time.Millisecond)))
	switch {
	case r < 0.05:
		return
	case r < 0.1:
		delay += time.Duration(w.random.Int64N(int64(4 * time.Second)))
	}
	w.lastSerial++
	heap.Push(&w.queue, event{w.now + delay, w.lastSerial, deliver})
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 11)), state: control.NewState(),
		partitioned: map[string]bool{}, isolated: map[string]bool{}, minSeq: map[string]uint64{}, decisions: map[control.Status]int{},
	}
	var first declare.Change
	first.ID = "first"
	put := func(o declare.Object) { first.Puts = append(first.Puts, declare.Envelope{Object: o}) }
	put(declare.Service{Name: "s", Type: declare.ServicePlain})
	for _, dc := range []string{"x", "y"} {
		put(declare.Region{Name: "region-" + dc})
		put(declare.DataCentre{Name: dc, Region: "region-" + dc})
		put(newEngine(dc, 0))
		for i := range 3 {
			name := fmt.Sprintf("%s%d", dc, i)
			put(newHost(name, dc))
			h := &host{name: name, dc: dc, rate: 0.955 + 0.09*w.random.Float64()}
			w.hosts = append(w.hosts, h)
			w.startHost(h)
		}
	}
	out := w.apply(control.Command{Propose: &control.Propose{Change: first}})
	must.Eq(t, control.StatusAccepted, out.Status)
	w.electLeader()
	return w
}

func newEngine(dc string, cost float64) declare.Engine {
	return declare.Engine{Name: "e-" + dc, Service: "s", DataCentre: dc, Address: "127.0.0.1:1", Slots: 1, Cost: cost}
}

func newHost(name, dc string) declare.Host {
	address := "127.0.0.1:1"
	return declare.Host{Name: name, DataCentre: dc, Callers: address, Handover: address, Control: address, Operators: address}
}

func (w *simulation) apply(c control.Command) control.Outcome {
	data, err := json.Marshal(c)
	must.NoError(w.t, err)
	return w.state.Apply(0, data).(control.Outcome)
}

// startHost starts a host's process, which remembers nothing.
func (w *simulation) startHost(h *host) {
	h.incarnations++
	h.up = true
	h.grants = nil
	h.holder = lease.New(h.name, h.dc, fmt.Sprintf("%s/%d", h.name, h.incarnations), leaseDuration)
}

func (w *simulation) electLeader() {
	w.tally = control.NewTally(control.Timing{Lease: leaseDuration, Decide: decideTimeout})
	w.leaderChangedAt = w.now
}

// isRunning tells whether the process that a message was for still runs.
func (h *host) isRunning(incarnation int) bool { return h.up && h.incarnations == incarnation }

// sendReport is what a host does now and then: it reports, and learns what is new.
func (w *simulation) sendReport(h *host) {
	if w.partitioned[h.dc] || w.isolated[h.name] {
		return
	}
	incarnation, sentAt, report := h.incarnations, h.clock(w.now), h.holder.Report(h.clock(w.now))
	w.transmit(func() {
		if w.tally == nil || w.partitioned[h.dc] {
			return
		}
		view := w.state.View()
		renewed := w.tally.Report(w.leaderClock(), report, view)
		w.transmit(func() {
			if h.isRunning(incarnation) && renewed {
				h.holder.RenewedByLeader(sentAt, view.Seq)
			}
		})
		w.transmit(func() {
			if h.isRunning(incarnation) && !w.partitioned[h.dc] && !w.isolated[h.name] {
				h.holder.SetView(view)
			}
		})
	})
}

// requestPeerGrants is what a host does when no leader renews it.
func (w *simulation) requestPeerGrants(h *host) {
	h.round++
	round, incarnation := h.round, h.incarnations
	h.roundSentAt, h.roundSeq, h.grants = h.clock(w.now), h.holder.View().Seq, nil
	request := h.holder.Ask()
	for _, peer := range w.hosts {
		if peer.dc != h.dc || peer == h {
			continue
		}
		w.transmit(func() {
			if !peer.up || w.isolated[peer.name] || w.isolated[h.name] {
				return
			}
			grant, view := peer.holder.Answer(peer.clock(w.now), request), peer.holder.View()
			w.transmit(func() {
				if !h.isRunning(incarnation) || h.round != round {
					return
				}
				if grant.Seq > h.holder.View().Seq {
					h.holder.SetView(view)
				}
				h.grants = append(h.grants, grant)
				if h.holder.RenewedByPeers(h.roundSentAt, h.roundSeq, h.grants) {
					w.peerRenewals++
				}
			})
		})
	}
}

// proposeChange proposes something that matters to one data centre or to both, or
// replaces a host.
func (w *simulation) proposeChange() {
	if w.tally == nil || w.state.View().Pending != nil {
		return
	}
	w.changeCount++
	c := declare.Change{ID: fmt.Sprint("change-", w.changeCount), Base: w.state.View().Config.Revision()}
	kind := w.random.IntN(4)
	for i, dc := range []string{"x", "y"} {
		if kind == i || kind == 2 {
			c.Puts = append(c.Puts, declare.Envelope{Object: newEngine(dc, float64(w.changeCount))})
		}
	}
	if kind == 3 {
		w.replaceHost(&c)
	}
	w.apply(control.Command{Propose: &control.Propose{Change: c}})
	if w.random.Float64() < 0.4 {
		w.injectFaultsDuringChange()
	}
}

// injectFaultsDuringChange cuts a data centre off while its hosts are about to acknowledge, and
// takes a host or two from it: the moment at which a mistake would show.
func (w *simulation) injectFaultsDuringChange() {
	randomDelay := func() time.Duration { return time.Duration(w.random.Int64N(int64(400 * time.Millisecond))) }
	dc := []string{"x", "y"}[w.random.IntN(2)]
	schedule := func(delay time.Duration, run func()) {
		w.lastSerial++
		heap.Push(&w.queue, event{w.now + delay, w.lastSerial, run})
	}
	schedule(randomDelay(), func() { w.partitioned[dc] = true })
	for range w.random.IntN(3) {
		h := w.hosts[w.random.IntN(len(w.hosts))]
		if w.random.IntN(2) == 0 {
			schedule(randomDelay(), func() { w.isolated[h.name] = true })
			continue
		}
		schedule(randomDelay(), func() { w.startHost(h) })
	}
	if w.random.IntN(3) == 0 {
		schedule(randomDelay(), func() { w.tally, w.leaderChangedAt = nil, w.now })
	}
	schedule(6*time.Second+randomDelay(), func() {
		w.partitioned[dc] = false
		clear(w.isolated)
	})
}

// replaceHost ends a host for good and declares another in its place.
func (w *simulation) replaceHost(c *declare.Change) {
	index := w.random.IntN(len(w.hosts))
	old := w.hosts[index]
	old.up = false
	goneHost := newHost(old.name, old.dc)
	goneHost.State = declare.HostGone
	name := fmt.Sprintf("%s-%d", old.dc, w.changeCount)
	c.Puts = append(c.Puts, declare.Envelope{Object: goneHost}, declare.Envelope{Object: newHost(name, old.dc)})
	h := &host{name: name, dc: old.dc, rate: old.rate}
	w.hosts[index] = h
	w.startHost(h)
}

func (w *simulation) decidePending() {
	view := w.state.View()
	if w.tally == nil || view.Pending == nil {
		return
	}
	d := w.tally.Decide(w.leaderClock(), view)
	if !d.Decided {
		return
	}
	out := w.apply(control.Command{Decide: &control.Decide{ID: view.Pending.Change.ID, Accept: d.Accept, Cut: d.Cut}})
	w.decisions[out.Status]++
	if out.Status == control.StatusAccepted {
		for _, dc := range view.Pending.Matters {
			w.minSeq[dc] = view.Seq // every host must have acknowledged this
		}
	}
}

func (w *simulation) injectRandomFault() {
	h := w.hosts[w.random.IntN(len(w.hosts))]
	switch r := w.random.Float64(); {
	case r < 0.2:
		w.startHost(h) // a restart in no time
	case r < 0.24:
		h.up = false
	case r < 0.4:
		if !h.up {
			w.startHost(h)
		}
	case r < 0.5:
		w.partitioned[h.dc] = true
	case r < 0.75:
		w.partitioned[h.dc] = false
	case r < 0.78:
		w.tally, w.leaderChangedAt = nil, w.now // the leader is lost; what it sent is still on its way
	}
	if w.tally == nil && w.now-w.leaderChangedAt > 2*time.Second {
		w.electLeader()
	}
}

const stepDuration = 10 * time.Millisecond

func (w *simulation) step(i int) {
	w.now += stepDuration
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		heap.Pop(&w.queue).(event).run()
	}
	for k, h := range w.hosts {
		if h.up && (i+k*13)%40 == 0 {
			w.sendReport(h)
			if h.holder.Until().Sub(h.clock(w.now)) < leaseDuration*2/3 {
				w.requestPeerGrants(h)
			}
		}
	}
	if i%30 == 0 && w.random.Float64() < 0.4 {
		w.proposeChange()
	}
	if i%70 == 0 {
		w.injectRandomFault()
	}
	w.decidePending()
}

// TestNoHostServesUnderAnOlderConfiguration runs random histories with lost and
// late messages, cuts, restarts, replaced hosts, lost leaders and clocks of
// different rates, and checks the promise at each step.
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
				w := newSimulation(t, seed)
				checks := w.run(seed)
				mu.Lock()
				defer mu.Unlock()
				servingChecks += checks
				peerRenewals += w.peerRenewals
				for status, k := range w.decisions {
					decisions[status] += k
				}
			})
		}
	})
	t.Logf("%d looks at a serving host, %d renewals by peers, decided: %v", servingChecks, peerRenewals, decisions)
	must.Greater(t, 5*seeds, uint64(decisions[control.StatusAccepted]))
	must.Greater(t, seeds, uint64(decisions[control.StatusRefused]))
	must.Greater(t, seeds, uint64(peerRenewals))
}

// run lets two minutes pass and gives how often a serving host was looked at.
func (w *simulation) run(seed uint64) int {
	servingChecks := 0
	for i := range 12_000 {
		w.step(i)
		for _, h := range w.hosts {
			if !h.up || !h.holder.Serving(h.clock(w.now)) {
				continue
			}
			servingChecks++
			if h.holder.View().Seq < w.minSeq[h.dc] {
				w.t.Fatalf("seed %d at %v: host %s serves under view %d, but an accepted change demands %d", seed, w.now, h.name, h.holder.View().Seq, w.minSeq[h.dc])
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
	config, err := declare.Config{}.With(change)
	must.NoError(t, err)
	return control.View{Seq: seq, Config: config}
}

func TestRestartedHostDoesNotRenewPeers(t *testing.T) {
	now := time.Now()
	a := lease.New("a", "d", "a/2", leaseDuration)
	a.SetView(newView(t, 4))
	must.False(t, a.Answer(now, lease.Ask{Host: "c", Seq: 4}).Granted)
	must.False(t, a.RenewedByPeers(now, 4, []lease.Grant{{Host: "c", Granted: true, Seq: 4}}), must.Sprint("its own word must not count"))
	must.True(t, a.RenewedByPeers(now, 4, []lease.Grant{{Host: "c", Granted: true}, {Host: "b", Granted: true}}), must.Sprint("a majority of others may renew it"))
	must.True(t, a.Serving(now.Add(leaseDuration-1)))
	must.False(t, a.Serving(now.Add(leaseDuration)))
	a.RenewedByLeader(now, 4)
	must.True(t, a.Answer(now, lease.Ask{Host: "c", Seq: 4}).Granted, must.Sprint("a leader has established it"))
	must.False(t, a.Answer(now, lease.Ask{Host: "c", Seq: 3}).Granted, must.Sprint("never under an older view"))
}

func TestSuspendedHostLosesLease(t *testing.T) {
	now := time.Now()
	a := lease.New("a", "d", "a/1", leaseDuration)
	a.SetView(newView(t, 1))
	a.RenewedByLeader(now, 1)
	afterSuspension := now.Round(0).Add(leaseDuration) // the monotonic clock stood still
	must.False(t, a.Serving(afterSuspension))
	must.True(t, a.Serving(now.Add(leaseDuration/2)))
}
