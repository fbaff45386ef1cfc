package catalog_test

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
)

func TestEmptyKeyIsRejected(t *testing.T) {
	c := catalog.Catalog{Version: 1, Accounts: []catalog.Account{{Name: "club", Keys: []catalog.KeyDigest{catalog.DigestKey("")}}}}
	must.ErrorContains(t, c.Check(), `account "club" has an empty key`)
}

// TestFormattedAccountHidesKey guards against keys in logs: it formats an account with
// every verb that a log may use.
func TestFormattedAccountHidesKey(t *testing.T) {
	account := catalog.Account{Name: "club", Keys: []catalog.KeyDigest{catalog.DigestKey("secret")}}
	for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
		must.StrNotContains(t, fmt.Sprintf(format, account), "secret")
	}
	digest := catalog.DigestKey("secret")
	must.StrNotContains(t, digest.String(), string(digest))
}

func TestAllowanceCost(t *testing.T) {
	tokens := catalog.Allowance{Unit: catalog.UnitTokens, Rate: 1, Plain: 200}
	must.Eq(t, 9240.0, tokens.Cost(9240, true))
	must.Eq(t, 0.0, tokens.Cost(0, true))
	must.Eq(t, 200.0, tokens.Cost(0, false))
	must.Eq(t, 1.0, catalog.Allowance{Rate: 1}.Cost(9240, true))
	must.False(t, catalog.Allowance{}.Limited())
}

func ExampleTable_AccountByKey() {
	urgent := 0
	t := catalog.NewTable(catalog.Catalog{Accounts: []catalog.Account{
		{Name: "club", Keys: []catalog.KeyDigest{catalog.DigestKey("k1")}, Priority: &urgent, Homes: []string{"lagos"}},
	}})
	a, ok := t.AccountByKey(catalog.DigestKey("k1"))
	fmt.Println(ok, a.Name, a.PermitsRegion("kano"), a.PriorityOn(catalog.Route{Priority: 2}))
	_, ok = t.AccountByKey(catalog.DigestKey("k2"))
	fmt.Println(ok)
	// Output:
	// true club false 0
	// false
}
