package rendezvous_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/rendezvous"
)

// TestEachThingIsFirstAboutAsOften ranks eight things for many keys; each should be first for
// an eighth of them, and within five standard deviations (33) it is.
func TestEachThingIsFirstAboutAsOften(t *testing.T) {
	const keys, things = 10_000, 8
	first := make(map[uint64]int)
	for key := range uint64(keys) {
		best := uint64(0)
		for thing := range uint64(things) {
			if rendezvous.Rank(key, thing) > rendezvous.Rank(key, best) {
				best = thing
			}
		}
		first[best]++
	}
	for thing := range uint64(things) {
		must.Between(t, keys/things-165, first[thing], keys/things+165)
	}
}
