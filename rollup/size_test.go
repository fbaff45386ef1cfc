package rollup_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/rollup"
)

// TestReturnsDontFillLinks guards against promises to rejected requests that fill the links of
// leaders in an overload: of any number, a report holds about half a kilobyte, those due first.
func TestReturnsDontFillLinks(t *testing.T) {
	var promises []rollup.ReturnPromise
	for i := range uint32(5000) {
		promises = append(promises, rollup.ReturnPromise{Request: i * 0x9e3779b9, Kind: 1, DueMillis: int(5000 - i)})
	}
	limited := rollup.LimitReturns(promises)
	data, err := cbor.Marshal(rollup.Report{Returns: limited})
	must.NoError(t, err)
	must.Less(t, 640, len(data))
	must.Eq(t, 1, limited[0].DueMillis)
}
