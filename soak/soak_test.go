package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/soak"
)

// regressions are seeds that failed once, with how long harm was done and the
// cause. They are run again by hand: go test -run Regressions -timeout 1h ./soak.
var regressions = []struct {
	seed    uint64
	harming time.Duration
	cause   string
}{}

// build builds linenscaled.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "linenscaled")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/linenscaled").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return program
}

func run(t *testing.T, seed uint64, harming time.Duration) {
	t.Helper()
	report, err := soak.Run(context.Background(), soak.Options{
		Program: build(t), Dir: t.TempDir(), Seed: seed, Regions: 3, Gateways: 1, Engines: 1, Net: 110,
	}, harming)
	must.NoError(t, err)
	t.Log(report)
	must.SliceEmpty(t, report.Problems)
	must.Greater(t, 100, report.Checks)
}

// TestPromisesAreKeptUnderHarm is the short run.
func TestPromisesAreKeptUnderHarm(t *testing.T) { run(t, 1, 8*time.Second) }

// TestRegressions runs the seeds that failed once.
func TestRegressions(t *testing.T) {
	if testing.Short() {
		t.Skip("they are run by hand")
	}
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { run(t, r.seed, r.harming) })
	}
}
