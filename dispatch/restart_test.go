package dispatch_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/registry"
)

// TestRestartedEngineStartsWithoutState restarts an engine under its ID while a request
// runs. The cached blocks, requests and failures of the earlier incarnation must not
// count, and the end of its request must not reduce the load of the new one.
func TestRestartedEngineStartsWithoutState(t *testing.T) {
	env := newTestEnv(1, 1)
	g := env.gateways[0]
	running := acquire(t, g, longRequest("r0", "p"))
	failed := acquire(t, g, longRequest("r1", "p"))
	failed.Done(dispatch.Unreached)
	env.heartbeat(registry.Engine{ID: "i-0", Born: 5})
	ticket := acquire(t, g, longRequest("r2", "p"))
	must.StrContains(t, ticket.Explanation, "requests=0")
	must.StrContains(t, ticket.Explanation, "unread=0")
	running.Done(dispatch.Answered)
	next := acquire(t, g, longRequest("r3", "p"))
	must.StrContains(t, next.Explanation, "requests=1")
	ticket.Done(dispatch.Answered)
	next.Done(dispatch.Answered)
	must.StrContains(t, acquire(t, g, longRequest("r4", "p")).Explanation, "requests=0")
}
