package dispatch_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/registry"
)

// TestRestartedEngineStartsWithoutState lets an engine keep a part, have a request and
// fail; when it starts again under its id, nothing of that counts, and the end of the old
// request takes nothing from the new life.
func TestRestartedEngineStartsWithoutState(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	running := acquire(t, g, longRequest("r0", "p"))
	failed := acquire(t, g, longRequest("r1", "p"))
	failed.Done(dispatch.Unreached)
	env.heartbeat(registry.Engine{ID: "i-0", Born: 5})
	ticket := acquire(t, g, longRequest("r2", "p"))
	must.StrContains(t, ticket.Why, "requests=0")
	must.StrContains(t, ticket.Why, "unread=0")
	running.Done(dispatch.Answered)
	next := acquire(t, g, longRequest("r3", "p"))
	must.StrContains(t, next.Why, "requests=1")
	ticket.Done(dispatch.Answered)
	next.Done(dispatch.Answered)
	must.StrContains(t, acquire(t, g, longRequest("r4", "p")).Why, "requests=0")
}
