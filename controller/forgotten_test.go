package controller_test

import (
	"context"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/roster"
)

// TestHostThatLostItsDiskLearnsOfEndedEngines guards against joining a stream from two versions: the
// control host to which an engine of the other version had sent its heartbeats comes back
// without its disk, and gateways that have just started, too, ask it which versions have served.
func TestHostThatLostItsDiskLearnsOfEndedEngines(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(h *host){
		"left":   func(h *host) { h.c.MarkLeft(context.Background(), "i-old", 0) },
		"silent": func(*host) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, hosts := newHosts(t)
			forgetful := hosts[0]
			old := testEngine("i-old", forgetful.dataCentre, 1)
			old.Version = "v1"
			forgetful.c.Heartbeat(context.Background(), old)
			end(forgetful)
			gateway := roster.Host{Name: "g", Role: roster.RoleGateway, Region: regions[forgetful.dataCentre], Life: "g-1"}
			phaseAt := func(h *host) (registry.Engine, bool) {
				var reply follow.SyncReply
				must.NoError(t, controller.NewService(context.Background(), h.c).Sync(follow.SyncArgs{Self: gateway}, &reply))
				for _, update := range reply.Engines {
					if update.Engine.ID == old.ID {
						return update.Engine, true
					}
				}
				return registry.Engine{}, false
			}
			for _, h := range hosts[1:] {
				eventually(t, stepTimeout, "the others know that it has ended", func() bool {
					e, known := phaseAt(h)
					return known && e.Phase != registry.Ready
				})
			}
			forgetful.loseDisk()
			forgetful.start()
			eventually(t, stepTimeout, "its version is known again", func() bool {
				e, known := phaseAt(forgetful)
				return known && e.Version == "v1"
			})
		})
	}
}
