package rendezvous_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/rendezvous"
)

// TestItemsRankFirstEquallyOften guards against a biased hash: each of eight items must
// rank first for an eighth of the keys, within five standard deviations (of 33 keys
// each).
func TestItemsRankFirstEquallyOften(t *testing.T) {
	const keys, items = 10_000, 8
	first := make(map[uint64]int)
	for key := range uint64(keys) {
		best := uint64(0)
		for item := range uint64(items) {
			if rendezvous.Rank(key, item) > rendezvous.Rank(key, best) {
				best = item
			}
		}
		first[best]++
	}
	for item := range uint64(items) {
		must.Between(t, keys/items-165, first[item], keys/items+165)
	}
}
