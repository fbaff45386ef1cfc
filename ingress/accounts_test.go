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

// accounts of these tests: one without limits, one bound to a region, one with an
// allowance of a few requests.
var accounts = []catalog.Account{
	{Name: "club", Keys: []catalog.KeyDigest{catalog.DigestKey("k-club")}},
	{Name: "bound", Keys: []catalog.KeyDigest{catalog.DigestKey("k-bound")}, Homes: []string{"lagos"}},
	{Name: "away", Keys: []catalog.KeyDigest{catalog.DigestKey("k-away")}, Homes: []string{"kano"}},
	{Name: "small", Keys: []catalog.KeyDigest{catalog.DigestKey("k-small")}, Allowance: catalog.Allowance{Unit: catalog.UnitRequests, Rate: 0.001}},
}

// withAccounts declares the accounts at a gateway, and a route that needs no key.
func withAccounts(g *gateway, held []catalog.Account) {
	c := testCatalog
	c.Version, c.Accounts = 2, held
	c.Routes = append(append([]catalog.Route{}, c.Routes...), catalog.Route{
		Name: "public", Host: "h", Prefix: "/public/", Kind: catalog.KindSafe, Public: true, Timeout: time.Second, Target: time.Second, Attempts: 2,
		Backends: []catalog.Backend{{Service: "portal", Weight: 1}},
	})
	g.server.Take(ledger.State{Index: 2, Catalog: c})
}

// showing is a request with keys.
func showing(path string, keys ...string) platformtest.Request {
	return platformtest.Request{Path: path, Header: platformtest.Showing(keys...)}
}

// TestKeysAreAskedFor looks at the status, and at the account that the engine is told.
func TestKeysAreAskedFor(t *testing.T) {
	cases := map[string]struct {
		request platformtest.Request
		status  int
		account string
	}{
		"known":               {showing("/safe/1", "k-club"), 200, "club"},
		"none":                {showing("/safe/1"), 401, ""},
		"unknown":             {showing("/safe/1", "k-other"), 401, ""},
		"of another scheme":   {platformtest.Request{Path: "/safe/1", Header: http.Header{"Authorization": {"Basic k-club"}}}, 401, ""},
		"two":                 {showing("/safe/1", "k-club", "k-bound"), 401, ""},
		"public without":      {showing("/public/1"), 200, ""},
		"public unknown":      {showing("/public/1", "k-other"), 200, ""},
		"public known":        {showing("/public/1", "k-club"), 200, "club"},
		"no region in common": {showing("/home/1", "k-bound"), 503, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g, engines := setUp(t)
			g.server.Regions = []string{"lagos", "kano"}
			withAccounts(g, accounts)
			platformtest.Forge(c.request.Header, "forged", "again")
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

// TestWithoutAccountsNobodyNeedsAKey passes on what a caller shows, as ever.
func TestWithoutAccountsNobodyNeedsAKey(t *testing.T) {
	g, _ := setUp(t)
	must.Eq(t, http.StatusOK, do(t, g, showing("/safe/1")).Status)
}

// TestKeysAreServedUnderALease moves a clock that no catalog has been confirmed on for
// as long as the bound: keys are refused as not run, public routes go on. A key that is
// taken away is unknown at once.
func TestKeysAreServedUnderALease(t *testing.T) {
	g, _ := setUp(t)
	var now, sureAt atomic.Int64
	sureAt.Store(-1)
	g.server.Keys = ingress.Keys{
		RevokedWithin: 5 * time.Second,
		SureUntil: func(index uint64) (time.Duration, bool) {
			return time.Duration(sureAt.Load()), sureAt.Load() >= 0 && index >= 2
		},
		Steady: func() time.Duration { return time.Duration(now.Load()) },
	}
	withAccounts(g, accounts)
	want := func(status int, note string) {
		t.Helper()
		result := do(t, g, showing("/safe/1", "k-club"))
		must.Eq(t, status, result.Status, must.Sprint(note))
		if status == http.StatusServiceUnavailable {
			must.NotEq(t, "", result.Header.Get("Retry-After"), must.Sprint(note))
		}
		must.Eq(t, http.StatusOK, do(t, g, showing("/public/1")).Status, must.Sprint(note))
	}
	want(503, "no word has come yet")
	must.Eq(t, http.StatusServiceUnavailable, do(t, g, showing("/safe/1", "k-other")).Status, must.Sprint("it may be new"))
	sureAt.Store(0)
	now.Store(int64(3 * time.Second))
	want(200, "0.6 of the bound without contact")
	now.Store(int64(4900 * time.Millisecond))
	want(503, "before the bound")
	now.Store(int64(time.Minute))
	want(503, "after a freeze")
	sureAt.Store(now.Load())
	want(200, "sure again")
	c := testCatalog
	c.Version, c.Accounts = 3, accounts[1:]
	g.server.Take(ledger.State{Index: 3, Catalog: c})
	must.Eq(t, http.StatusUnauthorized, do(t, g, showing("/safe/1", "k-club")).Status)
}

// TestAccountsBindToTheirRegions hands over a request whose account may only run in
// another region: that gateway finds the account by its own rules.
func TestAccountsBindToTheirRegions(t *testing.T) {
	lagos, kano, engines := twoRegions(t)
	for _, g := range []*gateway{lagos, kano} {
		withAccounts(g, accounts)
	}
	result := do(t, lagos, showing("/safe/1", "k-away"))
	must.Eq(t, http.StatusOK, result.Status)
	for _, e := range engines {
		for _, a := range e.Arrivals() {
			must.Eq(t, "away", a.Account())
			must.SliceEmpty(t, a.Keys())
		}
	}
	withAccounts(kano, accounts[:1])
	kano.server.Take(ledger.State{Index: 9, Catalog: catalog.Catalog{Version: 9, Routes: testCatalog.Routes, Services: testCatalog.Services, Accounts: accounts[:1]}})
	result = do(t, lagos, showing("/safe/1", "k-away"))
	must.True(t, result.Promised(), must.Sprint("the other gateway knows that the key was taken away"))
}

// TestWhatNeverRanIsGivenBack asks an account of few requests for more: 429 with when to
// come back. A request that no engine has run doesn't count.
func TestWhatNeverRanIsGivenBack(t *testing.T) {
	g, _ := setUp(t)
	g.server.Allowances = allowance.New(allowance.Deps{
		Region: "lagos", Regions: []string{"lagos"}, Policy: allowance.Policy{Window: time.Second}, Random: func() uint64 { return 1 << 63 },
	})
	small := accounts[3]
	small.Allowance = catalog.Allowance{Unit: catalog.UnitRequests, Rate: 0.001, Burst: 2}
	g.server.Allowances.Take([]catalog.Account{small}, time.Now().Add(-time.Hour))
	withAccounts(g, []catalog.Account{small})
	for range 5 {
		must.Eq(t, http.StatusServiceUnavailable, do(t, g, showing("/empty/1", "k-small")).Status, must.Sprint("no engine"))
	}
	for range 2 {
		must.Eq(t, http.StatusOK, do(t, g, showing("/safe/1", "k-small")).Status)
	}
	over := do(t, g, showing("/safe/1", "k-small"))
	must.Eq(t, http.StatusTooManyRequests, over.Status)
	must.NotEq(t, "", over.Header.Get("Retry-After"))
}
