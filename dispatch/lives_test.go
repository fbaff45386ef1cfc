package dispatch_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/registry"
)

// TestAnEngineThatStartsAgainIsAnother lets an engine keep a part, have a request and
// fail; when it starts again under its id, nothing of that counts, and the end of the old
// request takes nothing from the new life.
func TestAnEngineThatStartsAgainIsAnother(t *testing.T) {
	w := newWorld(1, 1)
	g := w.gateways[0]
	running := acquire(t, g, long("r0", "p"))
	failed := acquire(t, g, long("r1", "p"))
	failed.Done(dispatch.Unreached)
	w.beat(registry.Engine{ID: "i-0", Born: 5})
	ticket := acquire(t, g, long("r2", "p"))
	must.StrContains(t, ticket.Explanation, "requests=0")
	must.StrContains(t, ticket.Explanation, "unread=0")
	running.Done(dispatch.Answered)
	next := acquire(t, g, long("r3", "p"))
	must.StrContains(t, next.Explanation, "requests=1")
	ticket.Done(dispatch.Answered)
	next.Done(dispatch.Answered)
	must.StrContains(t, acquire(t, g, long("r4", "p")).Explanation, "requests=0")
}
