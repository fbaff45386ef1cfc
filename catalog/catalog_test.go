package catalog_test

import (
	"encoding/json"
	"fmt"
	"os"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/catalog"
)

// TestCheckReportsEveryFault compares the faults that Check reports for the catalogs in
// testdata/faults.json with the expected ones.
func TestCheckReportsEveryFault(t *testing.T) {
	data, err := os.ReadFile("testdata/faults.json")
	must.NoError(t, err)
	var cases []struct {
		Name    string
		Catalog catalog.Catalog
		Want    []string
	}
	must.NoError(t, json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			err := c.Catalog.Check()
			if len(c.Want) == 0 {
				must.NoError(t, err)
				return
			}
			var invalid *catalog.InvalidError
			must.True(t, errors.As(err, &invalid))
			must.Eq(t, c.Want, invalid.Faults)
		})
	}
}

func newTable(routes ...catalog.Route) *catalog.Table {
	return catalog.NewTable(catalog.Catalog{Version: 1, Routes: routes})
}

func TestMatchPrefersLongestPrefix(t *testing.T) {
	routes := newTable(
		catalog.Route{Name: "all", Host: "a", Prefix: "/"},
		catalog.Route{Name: "deep", Host: "a", Prefix: "/x/y/"},
		catalog.Route{Name: "shallow", Host: "a", Prefix: "/x/"},
		catalog.Route{Name: "other", Host: "b", Prefix: "/x/y/z/"},
	)
	for path, want := range map[string]string{"/x/y/z/1": "deep", "/x/yy": "shallow", "/x/": "shallow", "/x": "all", "/": "all"} {
		r, ok := routes.Match("a", path)
		must.True(t, ok)
		must.Eq(t, want, r.Name, must.Sprint(path))
	}
	_, ok := routes.Match("c", "/x/")
	must.False(t, ok)
	_, ok = routes.Match("b", "/x/y/")
	must.False(t, ok)
}

func TestHomesCountsBoundRoutesOfHost(t *testing.T) {
	routes := newTable(
		catalog.Route{Host: "a", Prefix: "/1/"},
		catalog.Route{Host: "a", Prefix: "/2/", Homes: []string{"lagos", "abuja"}},
		catalog.Route{Host: "a", Prefix: "/3/", Homes: []string{"abuja", "kano"}},
		catalog.Route{Host: "b", Prefix: "/"},
	)
	must.Eq(t, map[string]int{"lagos": 1, "abuja": 2, "kano": 1}, routes.BoundRoutesByRegion("a"))
	must.MapEmpty(t, routes.BoundRoutesByRegion("b"))
}

// TestPickFollowsWeights calls PickService with each residue of the sum of the
// weights: each service must be drawn exactly as often as its weight.
func TestPickFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := rapid.IntRange(0, 20).Draw(t, "a"), rapid.IntRange(1, 20).Draw(t, "b")
		r := catalog.Route{Backends: []catalog.Backend{{Service: "a", Weight: a}, {Service: "b", Weight: b}}}
		got := map[string]int{}
		for random := range uint64(a + b) {
			got[r.PickService(random)]++
		}
		if got["a"] != a || got["b"] != b {
			t.Fatalf("drew %v of %d and %d", got, a, b)
		}
	})
}

func ExampleTable_Match() {
	t := catalog.NewTable(catalog.Catalog{Routes: []catalog.Route{
		{Name: "reviews", Host: "board.example", Prefix: "/drc/", Kind: catalog.KindStream, Resumable: true, Homes: []string{"lagos"}},
	}})
	r, ok := t.Match("board.example", "/drc/17")
	fmt.Println(ok, r.Name, r.Repeatable(), r.PermitsRegion("kano"))
	// Output: true reviews true false
}
