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
	"github.com/linenscale/linenscale/rollup"
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

// TestSoleVersionIsCertain guards against a stream without a record that continues although
// another version may have begun it, and against one that is rejected although none can.
func TestSoleVersionIsCertain(t *testing.T) {
	anywhere := func(string) bool { return true }
	here := func(region string) bool { return region == "lagos" }
	env := newTestEnv(1, 0)
	g := env.gateways[0]
	steady := true
	g.ViewIsSteady = func() bool { return steady }
	sole := func(permitted func(string) bool) string {
		origin, ok := g.SoleVersion("review", 15*time.Second, permitted)
		must.Eq(t, ok, origin.Version != "")
		return origin.Version
	}
	reportOf := func(versions ...rollup.VersionCount) rollup.Message {
		m := loadReport("kano", 4, 0)
		m.Remote[0].Versions, m.Remote[0].VersionsComplete = versions, len(versions) > 0
		return m
	}
	must.Eq(t, "", sole(here), must.Sprint("no engine is known"))
	env.heartbeat(registry.Engine{ID: "i-1", Service: "review", Slots: 16, Version: "v1"})
	must.Eq(t, "v1", sole(here))
	must.Eq(t, "", sole(anywhere), must.Sprint("kano has not reported"))
	g.Receive(reportOf())
	must.Eq(t, "", sole(anywhere), must.Sprint("kano's gateways report no versions"))
	g.Receive(reportOf(rollup.VersionCount{Service: "review", Version: "v1", Engines: 4}, rollup.VersionCount{Service: "portal", Version: "v9", Engines: 1}))
	must.Eq(t, "v1", sole(anywhere))
	steady = false
	must.Eq(t, "", sole(anywhere), must.Sprint("a control host isn't in contact"))
	steady = true
	g.Receive(reportOf(rollup.VersionCount{Service: "review", Version: "v1", Engines: 4}, rollup.VersionCount{Service: "review", Version: "v2"}))
	must.Eq(t, "", sole(anywhere), must.Sprint("an engine of v2 has ended in kano lately"))
	must.Eq(t, "v1", sole(here), must.Sprint("the request may not run in kano"))
	g.Receive(reportOf(rollup.VersionCount{Service: "review", Version: "v1", Engines: 4}))
	env.now = env.now.Add(2 * time.Second)
	must.Eq(t, "", sole(anywhere), must.Sprint("kano's report is too old"))
	env.heartbeat(registry.Engine{ID: "i-2", Service: "review", Slots: 16, Version: "v2"})
	env.engines.MarkLeft("i-2", 0)
	env.tick()
	must.Eq(t, "", sole(here), must.Sprint("an engine of v2 has ended here lately"))
	g.ViewIsSteady = nil
	must.Eq(t, "", sole(here))
}

// soleVersionOf returns the sole version of the service at a gateway of lagos that has heard the
// report of kano; "" if it isn't certain.
func soleVersionOf(report rollup.Message, within time.Duration) string {
	env := newTestEnv(1, 0)
	g := env.gateways[0]
	g.ViewIsSteady = func() bool { return true }
	env.heartbeat(registry.Engine{ID: "i-1", Service: "review", Slots: 16, Version: "v1"})
	report.Remote[0].Region = "kano"
	g.Receive(report)
	origin, _ := g.SoleVersion("review", within, func(string) bool { return true })
	return origin.Version
}

// TestIncompleteReportLeavesTheVersionOpen guards against joining a stream from two versions after
// all gateways were killed: a region's gateway that has just started reports the engines that it
// knows so far.
func TestIncompleteReportLeavesTheVersionOpen(t *testing.T) {
	for steady, want := range map[bool]string{true: "v1", false: ""} {
		kano := newTestEnv(1, 0)
		kano.gateways[0].ViewIsSteady = func() bool { return steady }
		kano.heartbeat(registry.Engine{ID: "i-2", Service: "review", Slots: 16, Version: "v1"})
		must.Eq(t, want, soleVersionOf(kano.gateways[0].RegionReport(), 15*time.Second), must.Sprint("steady: ", steady))
	}
}

// TestRegionWithoutEnginesLeavesTheVersionCertain guards against rejecting every stream that is taken
// up because one region has gateways and no engines.
func TestRegionWithoutEnginesLeavesTheVersionCertain(t *testing.T) {
	kano := newTestEnv(1, 0)
	kano.gateways[0].ViewIsSteady = func() bool { return true }
	report := kano.gateways[0].RegionReport()
	report.Remote[0].Versions = nil
	must.Eq(t, "v1", soleVersionOf(report, 15*time.Second))
}

// TestEndedEnginesAreKnownForAsLongAsStreamsAreTakenUp guards against joining a stream that is taken
// up later than the registry remembers the engine that began it.
func TestEndedEnginesAreKnownForAsLongAsStreamsAreTakenUp(t *testing.T) {
	env := newTestEnv(1, 0)
	g := env.gateways[0]
	g.ViewIsSteady = func() bool { return true }
	here := func(region string) bool { return region == "lagos" }
	env.heartbeat(registry.Engine{ID: "i-2", Service: "review", Slots: 16, Version: "v2"})
	env.engines.MarkLeft("i-2", 0)
	var ended time.Duration
	for ; ended < 2*registry.Retention; ended += time.Second {
		env.advance(time.Second)
		env.heartbeat(registry.Engine{ID: "i-1", Service: "review", Slots: 16, Version: "v1", Sequence: int64(10 + ended/time.Second)})
		env.engines.Expire()
		env.tick()
		_, certain := g.SoleVersion("review", ended, here)
		must.False(t, certain, must.Sprintf("a stream of v2 may be taken up %s after its engine has ended", ended))
	}
}
