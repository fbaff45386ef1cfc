package ingress_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform/platformtest"
)

// TestSlowOlderStateDoesNotReplaceNewerOne guards against a gateway that goes back to an older
// catalog: two states arrive from two control hosts, and indexing the older one takes longer.
func TestSlowOlderStateDoesNotReplaceNewerOne(t *testing.T) {
	const routes = 50_000
	g := newGateway(t, "g1", "lagos")
	older, newer := testCatalog, testCatalog
	older.Version, newer.Version = 2, 3
	for i := range routes {
		older.Routes = append(older.Routes, catalog.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/many/%d/", i), Kind: catalog.KindSafe, Timeout: time.Second})
	}
	newer.Routes = append([]catalog.Route{{Name: "new", Host: "h", Prefix: "/new/", Kind: catalog.KindSafe, Timeout: time.Second, Attempts: 1, Backends: []catalog.Backend{{Service: "nobody", Weight: 1}}}}, newer.Routes...)
	group := pool.New()
	group.Go(func() { g.server.ApplyState(ledger.State{Index: 12, Catalog: older}) })
	time.Sleep(2 * time.Millisecond) // the older state is being indexed
	group.Go(func() { g.server.ApplyState(ledger.State{Index: 13, Catalog: newer}) })
	group.Wait()
	must.Eq(t, http.StatusServiceUnavailable, do(t, g, platformtest.Request{Path: "/new/1", Method: http.MethodGet}).Status)
}
