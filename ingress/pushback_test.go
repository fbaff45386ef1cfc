package ingress_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// restAsked is what an engine of these tests asks for.
	restAsked = 3 * time.Second
	// restHeard is when it wants nothing any more: what is on its way may still come before.
	restHeard = 500 * time.Millisecond
	// restMost is how many requests may reach it from one gateway after that, until the rest
	// ends.
	restMost = 2
)

// inRest gives the most requests that an engine got from one gateway within a rest, of those that
// it asked for from a time on: it refuses all and asks for rest each time.
func (w *regionWorld) inRest(e *platformtest.Engine, from time.Duration) int {
	most := 0
	for i, asked := range w.arrivals[e] {
		if asked.at < from {
			continue
		}
		n := 0
		for _, a := range w.arrivals[e][i:] {
			if a.from == asked.from && a.at > asked.at+restHeard && a.at < asked.at+restAsked {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestAnEngineThatAsksForRestIsLeftAlone plays what users saw: engines turned requests away and
// asked for three seconds of rest, and got 5 to 8 more from each gateway within them, all of which
// they refused. Callers were refused, while four of a region's six engines served.
//
// Evidence: no gateway sent to an engine within 150 ms of its refusal, and each did soon after,
// whatever it had asked for; 38 of 41 sends within a rest were first sends of requests that had
// come in there; and callers were told to come back after the very time that the engine had
// asked for. So it was read, as a word to the caller, and the choice went by a constant of its own.
// The engine's word is kept by itself now (package pushback), and everything that may send goes
// by the one answer to whether an engine may get a request (dispatch, standing.go).
func TestAnEngineThatAsksForRestIsLeftAlone(t *testing.T) {
	w := newRegionWorld(t, 4)
	w.run(t, time.Second, 20)
	began := w.since()
	w.engines[0].SetRest("3")
	served := w.run(t, 9*time.Second, 20)
	must.LessEq(t, restMost, w.inRest(w.engines[0], began))
	must.GreaterEq(t, 180-3*len(w.gateways), served, must.Sprint("each gateway is refused once a rest, at most; the others serve all else"))
	w.engines[0].SetRest("")
	w.run(t, restAsked, 20)
	before := len(w.arrivals[w.engines[0]])
	must.Eq(t, 80, w.run(t, 4*time.Second, 20))
	must.GreaterEq(t, 10, len(w.arrivals[w.engines[0]])-before, must.Sprint("it takes its part again"))
}

// TestAnEngineThatSaysThatItLeavesGetsNothingMore has an engine say in its answers, of which all
// are good, that it leaves, while its heartbeats say that it is ready.
func TestAnEngineThatSaysThatItLeavesGetsNothingMore(t *testing.T) {
	w := newRegionWorld(t, 3)
	w.run(t, time.Second, 20)
	w.engines[1].SetLeaving()
	w.run(t, time.Second, 20)
	before := len(w.arrivals[w.engines[1]])
	must.Eq(t, 100, w.run(t, 5*time.Second, 20))
	must.Eq(t, before, len(w.arrivals[w.engines[1]]))
}
