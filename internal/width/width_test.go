package width_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/width"
)

// TestAllTrafficOfOneWaySharesItsWidth passes bytes of several connections between two regions,
// the other way, and within one.
func TestAllTrafficOfOneWaySharesItsWidth(t *testing.T) {
	ways := width.New(8e6) // a megabyte a second, and some 64 KB at once
	ctx := context.Background()
	passed := func(from, to string) int {
		n := 0
		for n < 100 && ways.Takes(from, to, 10_000) {
			n++
		}
		return n
	}
	must.Eq(t, 6, passed("a", "b"))
	must.LessEq(t, 1, passed("a", "b"), must.Sprint("what another connection has used is gone"))
	must.Eq(t, 6, passed("b", "a"), must.Sprint("each direction has its own"))
	must.Eq(t, 6, passed("a", "c"))
	must.Eq(t, 100, passed("a", "a"), must.Sprint("within a region there is no bound"))
	must.NoError(t, ways.Pass(ctx, "a", "b", 10_000))
	hurried, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	must.Error(t, ways.Pass(hurried, "a", "b", 60_000), must.Sprint("it isn't its turn in time"))
	must.NoError(t, width.New(0).Pass(ctx, "a", "b", 1<<40))
}
