package steady_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/steady"
)

// TestTimeIsMonotonicAndNearWallClock guards against a clock that runs backwards and
// against an origin that isn't the wall-clock time.
func TestTimeIsMonotonicAndNearWallClock(t *testing.T) {
	first := steady.Time()
	must.False(t, steady.Time().Before(first))
	must.Between(t, -time.Minute, time.Until(first), time.Minute)
}

func BenchmarkTime(b *testing.B) {
	for b.Loop() {
		steady.Time()
	}
}
