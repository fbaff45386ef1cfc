package control_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
)

var timing = control.Timing{LeaseDuration: 3 * time.Second, DecideTimeout: 5 * time.Second}

const at = "127.0.0.1:1"

func hostIn(name, dc string, state declare.HostState) declare.Host {
	return declare.Host{Name: name, DataCentre: dc, Callers: at, Handover: at, Control: at, Operators: at, State: state}
}

func change(id string, base uint64, objects ...declare.Object) declare.Change {
	c := declare.Change{ID: id, Base: base}
	for _, o := range objects {
		c.Puts = append(c.Puts, declare.Envelope{Object: o})
	}
	return c
}

func engineIn(dc string, cost float64) declare.Engine {
	return declare.Engine{Name: "engine-" + dc, Service: "s", DataCentre: dc, Address: at, Slots: 1, Cost: cost}
}

// stateWithPending returns a state with hosts a, b and c in data centre d, host z in
// data centre e, and a pending change of the given objects.
func stateWithPending(t *testing.T, pending ...declare.Object) *control.State {
	t.Helper()
	s := control.NewState()
	first := change("first", 0,
		declare.Region{Name: "r"}, declare.DataCentre{Name: "d", Region: "r"},
		declare.Region{Name: "q"}, declare.DataCentre{Name: "e", Region: "q"},
		declare.Service{Name: "s", Type: declare.ServicePlain}, engineIn("d", 0), engineIn("e", 0),
		hostIn("a", "d", ""), hostIn("b", "d", ""), hostIn("c", "d", ""), hostIn("z", "e", ""))
	must.Eq(t, control.StatusAccepted, apply(t, s, control.Command{Propose: &control.Propose{Change: first}}).Status, must.Sprint("the first configuration needs no acknowledgement"))
	must.Eq(t, control.StatusPending, apply(t, s, control.Command{Propose: &control.Propose{Change: change("second", 1, pending...)}}).Status)
	return s
}

func apply(t *testing.T, s *control.State, c control.Command) control.Outcome {
	t.Helper()
	data, err := json.Marshal(c)
	must.NoError(t, err)
	return s.Apply(0, data).(control.Outcome)
}

// reportCurrent records a report of the latest view from each host.
func reportCurrent(tracker *control.AckTracker, now time.Time, view control.View, hosts ...string) {
	for _, host := range hosts {
		tracker.RecordReport(now, control.HostReport{Host: host, DataCentre: "d", Incarnation: host, Established: true, Seq: view.Seq}, view)
	}
}

func TestChangeNeedsMajorityOfDataCentre(t *testing.T) {
	view := stateWithPending(t, engineIn("d", 1)).View()
	tracker, now := control.NewAckTracker(timing), time.Now()
	reportCurrent(tracker, now, view, "a")
	must.False(t, tracker.Decide(now, view).Decided)
	late := now.Add(timing.DecideTimeout)
	must.Eq(t, control.Decision{Decided: true, Unreachable: []string{"d"}}, tracker.Decide(late, view))
}

func TestMajorityWaitsForLeasesOfOthersToExpire(t *testing.T) {
	view := stateWithPending(t, engineIn("d", 1)).View()
	tracker, now := control.NewAckTracker(timing), time.Now()
	reportCurrent(tracker, now, view, "a", "b")
	must.False(t, tracker.Decide(now, view).Decided)
	must.False(t, tracker.Decide(now.Add(timing.LeaseDuration), view).Decided, must.Sprint("a host with a slow clock may still have a lease"))
	must.Eq(t, control.Decision{Decided: true, Accept: true}, tracker.Decide(now.Add(timing.LeaseWait()), view))
}

func TestAcknowledgedByAllIsAcceptedAtOnce(t *testing.T) {
	view := stateWithPending(t, engineIn("d", 1)).View()
	tracker, now := control.NewAckTracker(timing), time.Now()
	reportCurrent(tracker, now, view, "a", "b", "c")
	must.True(t, tracker.Decide(now, view).Accept)
}

// TestGrantToOtherIncarnationDelaysAcceptance guards against accepting a change while a
// restarted host still has a lease under the old view: it acknowledged, restarted, was
// renewed by a peer that had not acknowledged yet, and its late acknowledgement, from
// before the restart, completes the count.
func TestGrantToOtherIncarnationDelaysAcceptance(t *testing.T) {
	view := stateWithPending(t, engineIn("d", 1)).View()
	tracker, now := control.NewAckTracker(timing), time.Now()
	reportCurrent(tracker, now, view, "a", "b")
	reportCurrent(tracker, now, view, "c")
	granted := func(incarnation string) control.HostReport {
		return control.HostReport{Host: "c", DataCentre: "d", Established: true, Seq: view.Seq, Granted: []control.GrantedLease{{Host: "b", Incarnation: incarnation, Left: 2 * time.Second}}}
	}
	tracker.RecordReport(now, granted("b/2"), view)
	must.False(t, tracker.Decide(now, view).Decided)
	must.False(t, tracker.Decide(now.Add(2*time.Second), view).Decided)
	must.True(t, tracker.Decide(now.Add(2300*time.Millisecond), view).Accept)
	tracker.RecordReport(now, granted("b"), view)
	must.True(t, tracker.Decide(now, view).Accept, must.Sprint("the incarnation that acknowledged no longer serves under the old view"))
}

func TestReportOfOldViewIsNeitherRenewedNorCounted(t *testing.T) {
	view := stateWithPending(t, engineIn("d", 1)).View()
	tracker, now := control.NewAckTracker(timing), time.Now()
	old := control.HostReport{Host: "a", DataCentre: "d", Established: true, Seq: view.Seq - 1}
	must.False(t, tracker.RecordReport(now, old, view))
	reportCurrent(tracker, now, view, "b")
	must.False(t, tracker.Decide(now.Add(time.Minute), view).Accept)
	must.False(t, tracker.RecordReport(now, control.HostReport{Host: "a"}, control.View{}), must.Sprint("no host may serve under an empty log"))
}

func TestHostSetChangeNeedsBothMajorities(t *testing.T) {
	// One change replaces b and c by x and y. b and c may still run.
	s := stateWithPending(t, engineIn("d", 1))
	apply(t, s, control.Command{Decide: &control.Decide{ID: "second", Accept: true}})
	swap := change("swap", 2, hostIn("x", "d", ""), hostIn("y", "d", ""))
	swap.Deletes = []declare.Ref{{Kind: declare.KindHost, Name: "b"}, {Kind: declare.KindHost, Name: "c"}}
	must.Eq(t, []string{"d"}, apply(t, s, control.Command{Propose: &control.Propose{Change: swap}}).DataCentres)
	view := s.View()
	tracker, now := control.NewAckTracker(timing), time.Now()
	reportCurrent(tracker, now, view, "a", "x", "y")
	tracker.Decide(now, view)
	must.False(t, tracker.Decide(now.Add(timing.LeaseWait()), view).Accept, must.Sprint("b and c can still renew each other"))
	reportCurrent(tracker, now, view, "b", "c")
	must.True(t, tracker.Decide(now, view).Accept)
}

func TestRemainingHostCanDeclareOthersGone(t *testing.T) {
	s := stateWithPending(t, hostIn("b", "d", declare.HostTerminated), hostIn("c", "d", declare.HostTerminated))
	view := s.View()
	tracker, now := control.NewAckTracker(timing), time.Now()
	reportCurrent(tracker, now, view, "a")
	tracker.Decide(now, view)
	must.True(t, tracker.Decide(now.Add(timing.LeaseWait()), view).Accept)
}

func TestLostDataCentreCanBeDeclaredGone(t *testing.T) {
	s := stateWithPending(t, hostIn("z", "e", declare.HostTerminated))
	tracker, now := control.NewAckTracker(timing), time.Now()
	must.False(t, tracker.Decide(now, s.View()).Decided, must.Sprint("a lease may still run in the lost data centre"))
	must.True(t, tracker.Decide(now.Add(timing.LeaseWait()), s.View()).Accept)
}

func TestChangeAffectsOnlyDataCentresWhereServingDiffers(t *testing.T) {
	s := stateWithPending(t, engineIn("d", 1))
	must.Eq(t, []string{"d"}, s.View().Pending.Matters)
	apply(t, s, control.Command{Decide: &control.Decide{ID: "second", Accept: true}})
	selector := declare.Selector{Name: "only-q", Service: "s", Allow: "region=q"}
	out := apply(t, s, control.Command{Propose: &control.Propose{Change: change("third", 2, selector)}})
	must.Eq(t, control.StatusPending, out.Status)
	must.Eq(t, []string{"e"}, out.DataCentres, must.Sprint("region r may not serve it in either configuration"))
	apply(t, s, control.Command{Decide: &control.Decide{ID: "third", Accept: true}})
	out = apply(t, s, control.Command{Propose: &control.Propose{Change: change("fourth", 3, declare.Region{Name: "new"})}})
	must.Eq(t, control.StatusAccepted, out.Status, must.Sprint("it affects no data centre"))
}

func TestConcurrentChangesAreSerialized(t *testing.T) {
	s := stateWithPending(t, engineIn("d", 1))
	other := change("other", 1, engineIn("d", 2))
	must.Eq(t, control.StatusBusy, apply(t, s, control.Command{Propose: &control.Propose{Change: other}}).Status)
	apply(t, s, control.Command{Decide: &control.Decide{ID: "second", Accept: true}})
	out := apply(t, s, control.Command{Propose: &control.Propose{Change: other}})
	must.Eq(t, control.StatusStale, out.Status)
	must.Eq(t, []declare.Ref{{Kind: declare.KindEngine, Name: "engine-d"}}, out.Since[0].Objects, must.Sprint("a stale outcome must name the objects changed since its base"))
	must.Eq(t, out, apply(t, s, control.Command{Propose: &control.Propose{Change: other}}), must.Sprint("a resent stale change must get the same outcome"))
}

func TestFirstCommittedDecisionWins(t *testing.T) {
	s := stateWithPending(t, engineIn("d", 1))
	must.Eq(t, control.StatusRefused, apply(t, s, control.Command{Decide: &control.Decide{ID: "second"}}).Status)
	must.Eq(t, control.StatusRefused, apply(t, s, control.Command{Decide: &control.Decide{ID: "second", Accept: true}}).Status)
	must.Eq(t, 1, s.View().Config.Revision())
}
