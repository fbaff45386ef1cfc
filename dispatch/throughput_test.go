package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
)

// plainDigest returns a region's digest of the plain service, whose engines answer within
// slotTime.
func plainDigest(slotTime time.Duration) dispatch.Digest {
	throughput := dispatch.Throughput{Overhead: 20 * time.Millisecond, OutputPerToken: 8 * time.Millisecond, SlotTime: slotTime}
	return dispatch.Digest{Service: "portal", Engines: 2, Slots: 8, Throughput: throughput}
}

// answer has a local engine answer a request after the given time.
func (env *testEnv) answer(t *testing.T, g *dispatch.Dispatcher, id string, after time.Duration) {
	t.Helper()
	ticket := acquire(t, g, dispatch.Request{ID: id, Service: "portal"})
	env.advance(after)
	ticket.RecordFirstByte(true)
	ticket.Done(dispatch.Answered)
}

// chooseLocal sends requests for the given time, ten a second, and answers those that run
// in this region after answerTime. It returns how many ran here in each second.
func (env *testEnv) chooseLocal(t *testing.T, g *dispatch.Dispatcher, length, answerTime time.Duration) []int {
	t.Helper()
	counts := make([]int, length/time.Second)
	start := env.now
	for i := 0; env.now.Sub(start) < length; i++ {
		g.Receive(digestReport("kano", plainDigest(20*time.Millisecond)))
		request := dispatch.Request{ID: fmt.Sprint("r", i), Service: "portal"}
		next := env.now.Add(100 * time.Millisecond)
		if g.ChooseRegion(request, true, []string{"kano"}).Region == "lagos" {
			counts[env.now.Sub(start)/time.Second]++
			env.answer(t, g, request.ID, answerTime)
		}
		env.advance(max(0, next.Sub(env.now)))
	}
	return counts
}

// TestSlowEstimateIsCorrectedWithoutTraffic guards against a region that gets no requests
// any more: some answers took so long that all requests go elsewhere, and only answers
// correct the estimate.
func TestSlowEstimateIsCorrectedWithoutTraffic(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	for i := range 3 {
		env.answer(t, g, fmt.Sprint("late", i), 2600*time.Millisecond)
	}
	counts := env.chooseLocal(t, g, 30*time.Second, 20*time.Millisecond)
	t.Log(counts)
	must.Eq(t, 10, counts[len(counts)-1])
}

// TestSuspensionIsNotTheEnginesTime guards against estimates that include time in which
// this gateway didn't run: the answer had arrived and was read only afterwards, or its
// deadline had passed.
func TestSuspensionIsNotTheEnginesTime(t *testing.T) {
	for _, outcome := range []dispatch.Outcome{dispatch.Answered, dispatch.Failed} {
		t.Run(outcome.String(), func(t *testing.T) {
			env := newTestEnv(1, 1)
			g := env.gateways[0]
			suspended := false
			g.SuspendedSince = func(time.Time) bool { return suspended }
			g.Receive(digestReport("kano", plainDigest(20*time.Millisecond)))
			request := dispatch.Request{ID: "r", Service: "portal"}
			before := g.ChooseRegion(request, true, []string{"kano"})
			for i := range 3 {
				ticket := acquire(t, g, dispatch.Request{ID: fmt.Sprint("waiting", i), Service: "portal"})
				env.advance(2600 * time.Millisecond)
				suspended = true
				ticket.RecordFirstByte(outcome == dispatch.Answered)
				ticket.Done(outcome)
			}
			g.Receive(digestReport("kano", plainDigest(20*time.Millisecond)))
			after := g.ChooseRegion(request, true, []string{"kano"})
			must.Eq(t, "lagos", after.Region)
			must.Eq(t, before.LocalCost, after.LocalCost)
		})
	}
}

// TestSlowRegionGetsFewTrials guards against sending many requests to a region that is
// really slower in order to learn whether it still is.
func TestSlowRegionGetsFewTrials(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	for i := range 10 {
		env.answer(t, g, fmt.Sprint("slow", i), 700*time.Millisecond)
	}
	counts := env.chooseLocal(t, g, 60*time.Second, 700*time.Millisecond)
	t.Log(counts)
	sum := 0
	for _, n := range counts {
		sum += n
	}
	must.LessEq(t, 12, sum)
}

// TestSlowCallersDontCountAgainstEngines guards against engines that seem busy and slow
// because callers take long to read complete answers.
func TestSlowCallersDontCountAgainstEngines(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	for i := range 20 {
		ticket := acquire(t, g, dispatch.Request{ID: fmt.Sprint("r", i), Service: "portal", Target: time.Second})
		must.Eq(t, 20*time.Millisecond, ticket.ExpectedWait.Round(time.Microsecond))
		env.advance(20 * time.Millisecond)
		ticket.RecordFirstByte(true)
		ticket.RecordLastByte()
		if i%2 == 0 { // the others never read
			env.advance(5 * time.Second)
			ticket.Done(dispatch.Answered)
		}
	}
}

// TestRegionIsUsedSoonAfterSlowAnswers guards against an engine that gets no requests for the
// rest of a run: while the answers were late, trials grew rare, and each later one corrects only
// half of the estimate. The soak expects requests at an engine 6 s after all faults have ended.
func TestRegionIsUsedSoonAfterSlowAnswers(t *testing.T) {
	const settleTime, window = 6, 4 // seconds, as in the soak
	for _, slowFor := range []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second} {
		t.Run(slowFor.String(), func(t *testing.T) {
			env := newTestEnv(1, 1)
			g := env.gateways[0]
			env.chooseLocal(t, g, slowFor, 1500*time.Millisecond)
			counts := env.chooseLocal(t, g, 30*time.Second, 20*time.Millisecond)
			sum := 0
			for _, n := range counts[settleTime : settleTime+window] {
				sum += n
			}
			must.GreaterEq(t, 4, sum, must.Sprint(counts))
		})
	}
}
