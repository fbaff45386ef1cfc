package ingress_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// limitWindow is over which time an engine that names a limit may get one and a half times
// what that allows, and five requests, from all gateways that it has told.
const limitWindow = 4 * time.Second

func allowed(limit float64) int { return int(1.5*limit*limitWindow.Seconds() + 5) }

// most gives the most requests that reached an engine within a window that begins at a time
// or later.
func (w *regionWorld) most(e *platformtest.Engine, from time.Duration) int {
	most := 0
	all := w.arrivals[e]
	for i, a := range all {
		if a.at < from {
			continue
		}
		n := 0
		for n < len(all)-i && all[i+n].at < a.at+limitWindow {
			n++
		}
		most = max(most, n)
	}
	return most
}

// TestEnginesGetNoMoreThanTheLimitTheyName plays what users saw: two of a region's four
// engines said in every answer, for minutes, that they take 1 and 1.2 requests a second from
// all gateways together, and got 33 and 28 within four seconds, where 11 and 12 are the most.
//
// Evidence: all 108 sends to both were first attempts of requests that had come to the
// region's three gateways themselves, but for 8 that other regions handed over, and from 1 to
// 20 in four seconds came from each gateway, as many as from each to engines without a limit.
// No gateway read the header that names it, and so neither the choice nor any sum knew of it.
// What each has read is its share of the limit now, worked out beforehand (package ratelimit).
func TestEnginesGetNoMoreThanTheLimitTheyName(t *testing.T) {
	w := newRegionWorld(t, 4)
	w.run(t, time.Second, 20)
	limits := []float64{1, 1.2}
	for i, limit := range limits {
		w.engines[i].SetLimit(fmt.Sprint(limit))
	}
	w.run(t, 6*time.Second, 20)
	settled := w.since()
	served := w.run(t, 8*time.Second, 20)
	must.Eq(t, 160, served, must.Sprint("the others serve what is over"))
	for i, limit := range limits {
		most := w.most(w.engines[i], settled)
		must.LessEq(t, allowed(limit), most, must.Sprintf("the engine that takes %v a second got %d in four", limit, most))
		must.GreaterEq(t, int(0.8*limit*limitWindow.Seconds()), most, must.Sprintf("it gets what it takes, and got %d", most))
	}
}
