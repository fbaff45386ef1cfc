package dispatchbench_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/dispatchbench"
)

// TestARunRepeats plays one seed twice: the same arrivals and the same choices must
// give the same figures, or no two of them can be compared.
func TestARunRepeats(t *testing.T) {
	must.Eq(t, dispatchbench.Run(dispatchbench.Overload(3)), dispatchbench.Run(dispatchbench.Overload(3)))
}

// TestAnswersOfALongOverloadAreInTime offers several times what the engines can
// serve. What is admitted must be answered in time as a rule, and not stand in a
// queue that is as long as the target.
func TestAnswersOfALongOverloadAreInTime(t *testing.T) {
	for seed := range uint64(3) {
		r := dispatchbench.Run(dispatchbench.Overload(seed))
		must.Greater(t, 0.57, r.Worth, must.Sprintf("seed %d", seed))
	}
}
