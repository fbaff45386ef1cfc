package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/pushback"
	"github.com/linenscale/linenscale/registry"
)

// copying declares engines that copy from each other at 550 Gbit/s, 320 KB a token: 6,000
// tokens take 29 ms, and 167 ms to read.
func (w *world) copying() {
	w.index++
	copies := []catalog.Service{services[0], services[1]}
	copies[0].Model = &catalog.ModelSpec{Slots: 16, CacheTokens: 100_000, TokenBytes: 327_680, LinkRate: 550e9}
	w.state = ledger.State{Index: w.index, Catalog: catalog.Catalog{Version: 2, Services: copies}}
	for _, g := range w.gateways {
		g.ApplyState(w.state, catalog.NewTable(w.state.Catalog))
	}
}

// keeper has one engine read a shared part, and gives it.
func keeper(t *testing.T, w *world) *dispatch.Ticket {
	t.Helper()
	first := acquire(t, w.gateways[0], long("r0", "p"))
	must.Eq(t, "", first.TransferFrom, must.Sprint("nobody keeps it yet"))
	first.Done(dispatch.Answered)
	return first
}

// TestASharedPartIsCopied sends requests with the same shared part until the engine that
// keeps it has more to read than a copy takes: others copy it from there, and are keepers
// from then on.
func TestASharedPartIsCopied(t *testing.T) {
	w := newWorld(1, 4)
	w.copying()
	first := keeper(t, w)
	copied := map[string]string{}
	for i := range 12 {
		ticket := acquire(t, w.gateways[0], long(fmt.Sprint("r", i+1), "p"))
		if ticket.TransferFrom != "" {
			must.NotEq(t, ticket.Address, ticket.TransferFrom)
			must.MapNotContainsKey(t, copied, ticket.Engine, must.Sprint("it keeps the part already"))
			copied[ticket.Engine] = ticket.TransferFrom
		}
	}
	must.Positive(t, len(copied))
	must.MapNotContainsKey(t, copied, first.Engine)
}

// TestNothingIsCopied looks at engines that can't copy, and at keepers that can't be
// copied from: then a part is read again, or its keeper is waited for.
func TestNothingIsCopied(t *testing.T) {
	for name, change := range map[string]func(w *world, keeper string){
		"engines that can't":  func(w *world, _ string) { w.declare() },
		"a draining keeper":   func(w *world, id string) { w.beat(registry.Engine{ID: id, Phase: registry.Draining}) },
		"a keeper that left":  func(w *world, id string) { w.engines.MarkLeft(id, 0); w.tick() },
		"a part long unused":  func(w *world, _ string) { w.pass(time.Minute) },
		"a keeper taken away": func(w *world, id string) { w.beat(registry.Engine{ID: id, GoneAt: w.now}); w.pass(time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 4)
			w.copying()
			change(w, keeper(t, w).Engine)
			must.Eq(t, "", acquire(t, w.gateways[0], long("r", "p")).TransferFrom)
		})
	}
}

// TestAKeeperThatWantsNothingIsNotCopiedFrom has the keeper ask for rest, or leave.
func TestAKeeperThatWantsNothingIsNotCopiedFrom(t *testing.T) {
	for name, says := range map[string]func(answered *dispatch.Ticket){
		"resting": func(answered *dispatch.Ticket) { answered.ApplyPushback(pushback.Backoff{Duration: time.Second}) },
		"leaving": func(answered *dispatch.Ticket) { answered.ApplyDraining() },
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 4)
			w.copying()
			says(keeper(t, w))
			must.Eq(t, "", acquire(t, w.gateways[0], long("r", "p")).TransferFrom)
		})
	}
}

// TestAKeeperThatFailsIsNotCopiedFrom can't reach the keeper.
func TestAKeeperThatFailsIsNotCopiedFrom(t *testing.T) {
	w := newWorld(1, 4)
	w.copying()
	first := keeper(t, w)
	for i := 0; ; i++ {
		ticket := acquire(t, w.gateways[0], long(fmt.Sprint("r", i), "p"))
		if ticket.Engine == first.Engine {
			ticket.Done(dispatch.Unreached)
			break
		}
	}
	must.Eq(t, "", acquire(t, w.gateways[0], long("after", "p")).TransferFrom)
}
