package ingress_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/ingress"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/platform/platformtest"
)

// accounts are the client accounts of these tests: one without restrictions, one that may
// run in lagos only, one that may run in kano only, and one with a small allowance.
var accounts = []catalog.Account{
	{Name: "club", Keys: []catalog.KeyDigest{catalog.DigestKey("k-club")}},
	{Name: "bound", Keys: []catalog.KeyDigest{catalog.DigestKey("k-bound")}, Homes: []string{"lagos"}},
	{Name: "away", Keys: []catalog.KeyDigest{catalog.DigestKey("k-away")}, Homes: []string{"kano"}},
	{Name: "small", Keys: []catalog.KeyDigest{catalog.DigestKey("k-small")}, Allowance: catalog.Allowance{Unit: catalog.UnitRequests, Rate: 0.001}},
}

// declareAccounts applies a catalog with accounts to a gateway. The catalog also has a
// public route, which requires no key.
func declareAccounts(g *gateway, declared []catalog.Account) {
	c := testCatalog
	c.Version, c.Accounts = 2, declared
	c.Routes = append(append([]catalog.Route{}, c.Routes...), catalog.Route{
		Name: "public", Host: "h", Prefix: "/public/", Kind: catalog.KindSafe, Public: true, Timeout: time.Second, Target: time.Second, Attempts: 2,
		Backends: []catalog.Backend{{Service: "portal", Weight: 1}},
	})
	g.server.ApplyState(ledger.State{Index: 2, Catalog: c})
}

// requestWithKeys returns a request that carries API keys.
func requestWithKeys(path string, keys ...string) platformtest.Request {
	return platformtest.Request{Path: path, Header: platformtest.HeaderWithKeys(keys...)}
}

// TestKeysAreRequired checks the status for valid, missing and invalid keys, and that the
// engine receives the account but never the key.
func TestKeysAreRequired(t *testing.T) {
	cases := map[string]struct {
		request platformtest.Request
		status  int
		account string
	}{
		"known":               {requestWithKeys("/safe/1", "k-club"), 200, "club"},
		"none":                {requestWithKeys("/safe/1"), 401, ""},
		"unknown":             {requestWithKeys("/safe/1", "k-other"), 401, ""},
		"of another scheme":   {platformtest.Request{Path: "/safe/1", Header: http.Header{"Authorization": {"Basic k-club"}}}, 401, ""},
		"two":                 {requestWithKeys("/safe/1", "k-club", "k-bound"), 401, ""},
		"public without":      {requestWithKeys("/public/1"), 200, ""},
		"public unknown":      {requestWithKeys("/public/1", "k-other"), 200, ""},
		"public known":        {requestWithKeys("/public/1", "k-club"), 200, "club"},
		"no region in common": {requestWithKeys("/home/1", "k-bound"), 503, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, engines := setUp(t)
			g.server.Regions = []string{"lagos", "kano"}
			declareAccounts(g, accounts)
			platformtest.ForgeAccounts(c.request.Header, "forged", "again")
			result := do(t, g, c.request)
			must.Eq(t, c.status, result.Status)
			arrived := 0
			for _, e := range engines {
				for _, a := range e.Arrivals() {
					arrived++
					must.Eq(t, c.account, a.Account())
					must.SliceEmpty(t, a.Keys())
				}
			}
			must.Eq(t, c.status == 200, arrived > 0)
		})
	}
}

// TestNoKeyIsRequiredWithoutAccounts checks that every request is served if the catalog
// declares no accounts.
func TestNoKeyIsRequiredWithoutAccounts(t *testing.T) {
	g, _ := setUp(t)
	must.Eq(t, http.StatusOK, do(t, g, requestWithKeys("/safe/1")).Status)
}

// TestKeysAreServedUnderALease guards against serving a revoked key after the bound
// RevokedWithin. If the catalog was not confirmed recently enough, requests with keys are
// rejected as not run, and public routes are still served. A revoked key is unknown as soon
// as the catalog without it is applied.
func TestKeysAreServedUnderALease(t *testing.T) {
	g, _ := setUp(t)
	var now, confirmedAt atomic.Int64
	confirmedAt.Store(-1)
	g.server.KeyLease = ingress.KeyLease{
		RevokedWithin: 5 * time.Second,
		FreshAsOf: func(index uint64) (time.Duration, bool) {
			return time.Duration(confirmedAt.Load()), confirmedAt.Load() >= 0 && index >= 2
		},
		Steady: func() time.Duration { return time.Duration(now.Load()) },
	}
	declareAccounts(g, accounts)
	check := func(status int, note string) {
		t.Helper()
		result := do(t, g, requestWithKeys("/safe/1", "k-club"))
		must.Eq(t, status, result.Status, must.Sprint(note))
		if status == http.StatusServiceUnavailable {
			must.NotEq(t, "", result.Header.Get("Retry-After"), must.Sprint(note))
		}
		must.Eq(t, http.StatusOK, do(t, g, requestWithKeys("/public/1")).Status, must.Sprint(note))
	}
	check(503, "the catalog was never confirmed")
	must.Eq(t, http.StatusServiceUnavailable, do(t, g, requestWithKeys("/safe/1", "k-other")).Status, must.Sprint("without a lease, an unknown key may be a new one"))
	confirmedAt.Store(0)
	now.Store(int64(3 * time.Second))
	check(200, "0.6 of the bound since the last confirmation")
	now.Store(int64(4900 * time.Millisecond))
	check(503, "shortly before the bound")
	now.Store(int64(time.Minute))
	check(503, "after a suspension")
	confirmedAt.Store(now.Load())
	check(200, "confirmed again")
	c := testCatalog
	c.Version, c.Accounts = 3, accounts[1:]
	g.server.ApplyState(ledger.State{Index: 3, Catalog: c})
	must.Eq(t, http.StatusUnauthorized, do(t, g, requestWithKeys("/safe/1", "k-club")).Status)
}

// TestAccountsRunOnlyInTheirRegions hands over a request whose account may only run in
// another region. The gateway there authenticates the key again, against its own catalog.
func TestAccountsRunOnlyInTheirRegions(t *testing.T) {
	lagos, kano, engines := twoRegions(t)
	for _, g := range []*gateway{lagos, kano} {
		declareAccounts(g, accounts)
	}
	result := do(t, lagos, requestWithKeys("/safe/1", "k-away"))
	must.Eq(t, http.StatusOK, result.Status)
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			must.Eq(t, "away", a.Account())
			must.SliceEmpty(t, a.Keys())
		}
	}
	declareAccounts(kano, accounts[:1])
	kano.server.ApplyState(ledger.State{Index: 9, Catalog: catalog.Catalog{Version: 9, Routes: testCatalog.Routes, Services: testCatalog.Services, Accounts: accounts[:1]}})
	result = do(t, lagos, requestWithKeys("/safe/1", "k-away"))
	must.True(t, result.GuaranteesNotRun(), must.Sprint("the key is revoked in the other gateway's catalog"))
}

// TestAllowanceIsRefundedIfNoEngineRan checks that a request that no engine ran doesn't
// count towards the allowance, and that one over the limit gets 429 and a Retry-After.
func TestAllowanceIsRefundedIfNoEngineRan(t *testing.T) {
	g, _ := setUp(t)
	g.server.Allowances = allowance.New(allowance.Deps{
		Region: "lagos", Regions: []string{"lagos"}, Policy: allowance.Policy{Window: time.Second}, Random: func() uint64 { return 1 << 63 },
	})
	limited := accounts[3]
	limited.Allowance = catalog.Allowance{Unit: catalog.UnitRequests, Rate: 0.001, Burst: 2}
	g.server.Allowances.SetAccounts([]catalog.Account{limited}, time.Now().Add(-time.Hour))
	declareAccounts(g, []catalog.Account{limited})
	for range 5 {
		must.Eq(t, http.StatusServiceUnavailable, do(t, g, requestWithKeys("/empty/1", "k-small")).Status, must.Sprint("the service has no engine"))
	}
	for range 2 {
		must.Eq(t, http.StatusOK, do(t, g, requestWithKeys("/safe/1", "k-small")).Status)
	}
	overLimit := do(t, g, requestWithKeys("/safe/1", "k-small"))
	must.Eq(t, http.StatusTooManyRequests, overLimit.Status)
	must.NotEq(t, "", overLimit.Header.Get("Retry-After"))
}
