package width_test

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/width"
)

// TestConnectionsOfOneDirectionShareBandwidth guards against a limit that applies to each
// connection instead of all of a direction, or that also covers the other direction or
// traffic within a region.
func TestConnectionsOfOneDirectionShareBandwidth(t *testing.T) {
	links := width.New(8e6) // 1 MB per second, bursts of 64 KiB
	ctx := context.Background()
	countAllowed := func(from, to string) int {
		n := 0
		for n < 100 && links.Allow(from, to, 10_000) {
			n++
		}
		return n
	}
	must.Eq(t, 6, countAllowed("a", "b"))
	must.LessEq(t, 1, countAllowed("a", "b"), must.Sprint("a second connection has only what the first left over"))
	must.Eq(t, 6, countAllowed("b", "a"), must.Sprint("each direction has its own limit"))
	must.Eq(t, 6, countAllowed("a", "c"))
	must.Eq(t, 100, countAllowed("a", "a"), must.Sprint("traffic within a region is unlimited"))
	must.NoError(t, links.Wait(ctx, "a", "b", 10_000))
	shortCtx, cancel := context.WithTimeout(ctx, time.Millisecond)
	defer cancel()
	must.Error(t, links.Wait(shortCtx, "a", "b", 60_000), must.Sprint("the link has no bandwidth before the deadline"))
	must.NoError(t, width.New(0).Wait(ctx, "a", "b", 1<<40))
}
