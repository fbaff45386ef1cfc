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

// enableTransfers lets the engines transfer caches at 550 Gbit/s, 320 KB per token: 6,000
// tokens take 29 ms, while reading them takes 167 ms.
func (env *testEnv) enableTransfers() {
	env.index++
	transferring := []catalog.Service{services[0], services[1]}
	transferring[0].Model = &catalog.ModelSpec{Slots: 16, CacheTokens: 100_000, TokenBytes: 327_680, LinkRate: 550e9}
	env.state = ledger.State{Index: env.index, Catalog: catalog.Catalog{Version: 2, Services: transferring}}
	for _, g := range env.gateways {
		g.ApplyState(env.state, catalog.NewTable(env.state.Catalog))
	}
}

// cachePrompt has one engine read a shared block, and returns the ticket for that engine.
func cachePrompt(t *testing.T, env *testEnv) *dispatch.Ticket {
	t.Helper()
	ticket := acquire(t, env.gateways[0], longRequest("r0", "p"))
	must.Eq(t, "", ticket.TransferFrom, must.Sprint("no engine has cached the block yet"))
	ticket.Done(dispatch.Answered)
	return ticket
}

// TestSharedBlocksAreTransferred sends requests with the same shared block until the
// engine that has cached it has more to read than a transfer takes. Other engines must
// then transfer the block, once each, and count as cache holders from then on.
func TestSharedBlocksAreTransferred(t *testing.T) {
	env := newTestEnv(1, 4)
	env.enableTransfers()
	holder := cachePrompt(t, env)
	sources := map[string]string{}
	for i := range 12 {
		ticket := acquire(t, env.gateways[0], longRequest(fmt.Sprint("r", i+1), "p"))
		if ticket.TransferFrom != "" {
			must.NotEq(t, ticket.Address, ticket.TransferFrom)
			must.MapNotContainsKey(t, sources, ticket.Engine, must.Sprint("the engine has cached the block already"))
			sources[ticket.Engine] = ticket.TransferFrom
		}
	}
	must.Positive(t, len(sources))
	must.MapNotContainsKey(t, sources, holder.Engine)
}

// TestNoTransferWithoutUsableSource checks engines that can't transfer, and cache holders
// that can't serve transfers: the block must be read again, or the request must be sent to
// the holder.
func TestNoTransferWithoutUsableSource(t *testing.T) {
	for name, change := range map[string]func(env *testEnv, holder string){
		"engines without transfers": func(env *testEnv, _ string) { env.applyState() },
		"draining holder":           func(env *testEnv, id string) { env.heartbeat(registry.Engine{ID: id, Phase: registry.Draining}) },
		"holder that left":          func(env *testEnv, id string) { env.engines.MarkLeft(id, 0); env.tick() },
		"expired block":             func(env *testEnv, _ string) { env.advance(time.Minute) },
		"recalled holder": func(env *testEnv, id string) {
			env.heartbeat(registry.Engine{ID: id, GoneAt: env.now})
			env.advance(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(1, 4)
			env.enableTransfers()
			change(env, cachePrompt(t, env).Engine)
			must.Eq(t, "", acquire(t, env.gateways[0], longRequest("r", "p")).TransferFrom)
		})
	}
}

// TestNoTransferFromEngineWithPushback has the cache holder ask for backoff or announce
// draining. A transfer would add load to an engine that asked for less, or that is about
// to end.
func TestNoTransferFromEngineWithPushback(t *testing.T) {
	for name, announce := range map[string]func(ticket *dispatch.Ticket){
		"backing off": func(ticket *dispatch.Ticket) { ticket.ApplyPushback(pushback.Backoff{Duration: time.Second}) },
		"draining":    func(ticket *dispatch.Ticket) { ticket.ApplyDraining() },
	} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(1, 4)
			env.enableTransfers()
			announce(cachePrompt(t, env))
			must.Eq(t, "", acquire(t, env.gateways[0], longRequest("r", "p")).TransferFrom)
		})
	}
}

// TestNoTransferFromUnreachableEngine has a connection to the cache holder fail.
func TestNoTransferFromUnreachableEngine(t *testing.T) {
	env := newTestEnv(1, 4)
	env.enableTransfers()
	holder := cachePrompt(t, env)
	for i := 0; ; i++ {
		ticket := acquire(t, env.gateways[0], longRequest(fmt.Sprint("r", i), "p"))
		if ticket.Engine == holder.Engine {
			ticket.Done(dispatch.Unreached)
			break
		}
	}
	must.Eq(t, "", acquire(t, env.gateways[0], longRequest("after", "p")).TransferFrom)
}

// TestCacheIsTransferredWithinAVersion guards against an engine that continues from what another
// software version has made of a prompt.
func TestCacheIsTransferredWithinAVersion(t *testing.T) {
	env := newTestEnv(1, 0)
	env.enableTransfers()
	versionAt := make(map[string]string)
	for i := range 4 {
		e := registry.Engine{ID: fmt.Sprint("i-", i), Service: "review", Slots: 16, Version: fmt.Sprint("v", i%2)}
		env.heartbeat(e)
		versionAt["10.1.0.1:"+e.ID] = e.Version
	}
	transfers := 0
	for i := range 40 {
		ticket := acquire(t, env.gateways[0], longRequest(fmt.Sprint("r", i), "p"))
		if ticket.TransferFrom != "" {
			transfers++
			must.Eq(t, ticket.Version, versionAt[ticket.TransferFrom])
		}
	}
	must.Positive(t, transfers)
}
