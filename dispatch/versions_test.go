package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/rollout"
	"github.com/linenscale/linenscale/streams"
)

// continued returns a request that continues a stream of the review service.
func continued(id, version string) dispatch.Request {
	req := unsharedRequest(id)
	req.Origin = &streams.Origin{Service: "review", Version: version}
	return req
}

// TestStreamContinuesOnlyAtItsVersion guards against a continuation at another version, also
// when every engine of its own was tried or drains.
func TestStreamContinuesOnlyAtItsVersion(t *testing.T) {
	env := newRolloutEnv(1)
	g := env.gateways[0]
	for i := range 50 {
		must.Eq(t, "v2", acquire(t, g, continued(fmt.Sprint("new", i), "v2")).Version)
		must.Eq(t, "", acquire(t, g, continued(fmt.Sprint("old", i), "")).Version)
	}
	for i := range 8 {
		env.heartbeat(registry.Engine{ID: fmt.Sprintf("n-%d", i), Version: "v2", Phase: registry.Draining})
	}
	for _, version := range []string{"v2", "v3"} {
		_, err := g.Acquire(continued("r", version))
		var rejection *request.NotRun
		must.True(t, errors.As(err, &rejection))
		must.Eq(t, request.ReasonNoEngine, rejection.Reason)
		must.StrContains(t, rejection.Message, "other version")
	}
}

// TestRolloutLetsStreamsContinue guards against streams that a rollout cuts off from the version
// that began them.
func TestRolloutLetsStreamsContinue(t *testing.T) {
	for _, stage := range []rollout.Stage{rollout.Canary, rollout.Switching, rollout.Completed, rollout.RolledBack} {
		env := newRolloutEnv(1)
		env.applyRollout(stage)
		for i := range 20 {
			for _, version := range []string{"", "v2"} {
				ticket := acquire(t, env.gateways[0], continued(fmt.Sprint(i, version), version))
				must.Eq(t, version, ticket.Version)
				must.NoError(t, ticket.CheckUsable())
			}
		}
	}
}

// TestRestartedEngineContinuesNoStream guards against an engine that starts again at its address
// and ID under another version after it was chosen.
func TestRestartedEngineContinuesNoStream(t *testing.T) {
	env := newTestEnv(1, 0)
	heartbeat := func(version string, born int64) {
		env.heartbeat(registry.Engine{ID: "i-1", Service: "review", Slots: 16, Version: version, Born: born})
	}
	heartbeat("v1", 1)
	ticket := acquire(t, env.gateways[0], continued("r1", "v1"))
	_, current := ticket.Origin()
	must.True(t, current)
	must.NoError(t, ticket.CheckUsable())
	heartbeat("v2", 2)
	_, current = ticket.Origin()
	must.False(t, current, must.Sprint("its answer may be of either version"))
	must.Error(t, ticket.CheckUsable())
	_, err := env.gateways[0].Acquire(continued("r2", "v1"))
	must.Error(t, err)
	must.Eq(t, "v2", acquire(t, env.gateways[0], continued("r3", "v2")).Version)
}

// TestStreamContinuesInTheRegionOfItsVersion guards against a continuation that is sent to a
// region without its version, or kept from one that has it.
func TestStreamContinuesInTheRegionOfItsVersion(t *testing.T) {
	far := newRolloutEnv(1)
	report := far.gateways[0].RegionReport()
	report.Remote[0].Region = "kano"
	env := newTestEnv(1, 4)
	g := env.gateways[0]
	origin := func(version string) streams.Origin { return streams.Origin{Service: "review", Version: version} }
	must.False(t, g.LacksVersion("kano", origin("v2")), must.Sprint("no report yet"))
	g.Receive(report)
	must.False(t, g.LacksVersion("kano", origin("v2")))
	must.True(t, g.LacksVersion("kano", origin("v3")))
	must.Eq(t, "kano", g.ChooseRegion(continued("r1", "v2"), true, []string{"kano"}).Region)
	must.Eq(t, "lagos", g.ChooseRegion(continued("r2", "v3"), true, []string{"kano"}).Region)
	must.Eq(t, "lagos", g.ChooseRegion(unsharedRequest("r3"), true, []string{"kano"}).Region)
	env.advance(2 * time.Second)
	must.False(t, g.LacksVersion("kano", origin("v3")), must.Sprint("the report is too old"))

	older := report
	older.Remote[0].Versions = nil
	g.Receive(older)
	must.False(t, g.LacksVersion("kano", origin("v3")), must.Sprint("gateways of an earlier release report no versions"))
}
