package rollup

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/roster"
)

// TestReturnsDontFillLinks guards against promises to rejected requests that fill the links of
// leaders in an overload: of any number, a report holds about half a kilobyte.
func TestReturnsDontFillLinks(t *testing.T) {
	acc := newSum()
	for i := range uint32(5000) {
		acc.add(Report{Returns: []ReturnPromise{{Request: i * 0x9e3779b9, Kind: 1, DueMillis: int(i)}}}, 1)
	}
	data, err := cbor.Marshal(acc.report())
	must.NoError(t, err)
	must.Less(t, 640, len(data))
	must.Eq(t, 0, acc.report().Returns[0].DueMillis, must.Sprint("the first due are kept"))
}

// TestGroupsAreNearTheSquareRoot checks that a leader has about as many members as there are
// other leaders, so that no leader's link carries far more than those of others.
func TestGroupsAreNearTheSquareRoot(t *testing.T) {
	for gateways, size := range map[int]int{10: 4, 16: 4, 20: 8, 30: 8, 64: 8, 65: 16, 100: 16, 330: 16} {
		must.Eq(t, size, groupSize(gateways), must.Sprint(gateways))
	}
	h := roster.Host{Name: "g"}
	must.True(t, groupOf(h, 15, 16).contains(groupOf(h, 15, 8)), must.Sprint("groups nest"))
}
