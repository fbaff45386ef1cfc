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

// enableTransfers declares engines that copy from each other at 550 Gbit/s, 320 KB a token: 6,000
// tokens take 29 ms, and 167 ms to read.
func (env *testEnv) enableTransfers() {
	env.index++
	copies := []catalog.Service{services[0], services[1]}
	copies[0].Model = &catalog.ModelSpec{Slots: 16, CacheTokens: 100_000, TokenBytes: 327_680, LinkRate: 550e9}
	env.state = ledger.State{Index: env.index, Catalog: catalog.Catalog{Version: 2, Services: copies}}
	for _, g := range env.gateways {
		g.Take(env.state, catalog.NewTable(env.state.Catalog))
	}
}

// cachePrompt has one engine read a shared part, and gives it.
func cachePrompt(t *testing.T, env *testEnv) *dispatch.Ticket {
	t.Helper()
	first := acquire(t, env.gateways[0], longRequest("r0", "p"))
	must.Eq(t, "", first.CopyFrom, must.Sprint("nobody keeps it yet"))
	first.Done(dispatch.Answered)
	return first
}

// TestSharedBlocksAreTransferred sends requests with the same shared part until the engine that
// keeps it has more to read than a copy takes: others copy it from there, and are keepers
// from then on.
func TestSharedBlocksAreTransferred(t *testing.T) {
	env := newTestEnv(1, 4)
	env.enableTransfers()
	first := cachePrompt(t, env)
	copied := map[string]string{}
	for i := range 12 {
		ticket := acquire(t, env.gateways[0], longRequest(fmt.Sprint("r", i+1), "p"))
		if ticket.CopyFrom != "" {
			must.NotEq(t, ticket.Address, ticket.CopyFrom)
			must.MapNotContainsKey(t, copied, ticket.Engine, must.Sprint("it keeps the part already"))
			copied[ticket.Engine] = ticket.CopyFrom
		}
	}
	must.Positive(t, len(copied))
	must.MapNotContainsKey(t, copied, first.Engine)
}

// TestNoTransferWithoutUsableSource looks at engines that can't copy, and at keepers that can't be
// copied from: then a part is read again, or its keeper is waited for.
func TestNoTransferWithoutUsableSource(t *testing.T) {
	for name, change := range map[string]func(env *testEnv, keeper string){
		"engines that can't": func(env *testEnv, _ string) { env.applyState() },
		"a draining keeper":  func(env *testEnv, id string) { env.heartbeat(registry.Engine{ID: id, Phase: registry.Draining}) },
		"a keeper that left": func(env *testEnv, id string) { env.engines.Leave(id, 0); env.tick() },
		"a part long unused": func(env *testEnv, _ string) { env.advance(time.Minute) },
		"a keeper taken away": func(env *testEnv, id string) {
			env.heartbeat(registry.Engine{ID: id, GoneAt: env.now})
			env.advance(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(1, 4)
			env.enableTransfers()
			change(env, cachePrompt(t, env).Engine)
			must.Eq(t, "", acquire(t, env.gateways[0], longRequest("r", "p")).CopyFrom)
		})
	}
}

// TestNoTransferFromEngineWithPushback has the keeper ask for rest, or leave.
func TestNoTransferFromEngineWithPushback(t *testing.T) {
	for name, says := range map[string]func(answered *dispatch.Ticket){
		"resting": func(answered *dispatch.Ticket) { answered.HeardPushback(pushback.Rest{For: time.Second}) },
		"leaving": func(answered *dispatch.Ticket) { answered.HeardLeaving() },
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(1, 4)
			env.enableTransfers()
			says(cachePrompt(t, env))
			must.Eq(t, "", acquire(t, env.gateways[0], longRequest("r", "p")).CopyFrom)
		})
	}
}

// TestNoTransferFromUnreachableEngine can't reach the keeper.
func TestNoTransferFromUnreachableEngine(t *testing.T) {
	env := newTestEnv(1, 4)
	env.enableTransfers()
	first := cachePrompt(t, env)
	for i := 0; ; i++ {
		ticket := acquire(t, env.gateways[0], longRequest(fmt.Sprint("r", i), "p"))
		if ticket.Engine == first.Engine {
			ticket.Done(dispatch.Unreached)
			break
		}
	}
	must.Eq(t, "", acquire(t, env.gateways[0], longRequest("after", "p")).CopyFrom)
}
