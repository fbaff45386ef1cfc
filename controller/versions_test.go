package controller_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
)

// TestGatewayOutOfStepKnowsThatItMayMissAVersion guards against a gateway that is partitioned from the
// other hosts while an engine of a new version joins, and is certain that there is only the old one:
// its view stays steady until polls are late, and again once the late answers have arrived.
func TestGatewayOutOfStepKnowsThatItMayMissAVersion(t *testing.T) {
	const controls, gateways, engines = 6, 12, 36
	for joined, lastsFor := range map[int]time.Duration{0: 300 * time.Millisecond, 1: time.Second, 2: 1300 * time.Millisecond, 3: 5 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, controls, gateways, engines)
			defer f.stop()
			f.awaitKnowledge(t, engines)
			time.Sleep(5 * time.Second)
			certain := func(gateway int) (versions []registry.ServedVersion, complete bool) {
				return f.followers[gateway].EngineVersions(context.Background(), "s")
			}
			versions, complete := certain(0)
			must.True(t, complete)
			must.SliceNotEmpty(t, versions)
			release := f.network.hold(fleetPlace(roster.RoleGateway, 0).Peer)
			e := testEngine("i-new", fleetPlace(roster.RoleControl, joined).DataCentre, 1)
			e.Version, e.Address = "new", "10.200.0.1:8080"
			f.controls[joined].Heartbeat(context.Background(), e)
			steadyWithoutIt := 0
			for until := time.Now().Add(lastsFor); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				if f.followers[0].IsSteady() {
					steadyWithoutIt++
				}
				_, complete := certain(0)
				must.False(t, complete, must.Sprint("no control host can answer"))
			}
			must.Positive(t, steadyWithoutIt, must.Sprint("the partition isn't seen at once"))
			release()
			for until := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
				must.True(t, time.Now().Before(until), must.Sprint("the gateway must be in step again"))
				versions, complete := certain(0)
				if !complete {
					continue
				}
				must.True(t, slices.ContainsFunc(versions, func(v registry.ServedVersion) bool { return v.Version == "new" }), must.Sprint(versions))
				return
			}
		})
	}
}
