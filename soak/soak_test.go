package soak_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/width"
	"github.com/linenscale/linenscale/soak"
)

// regressions are seeds that failed once, and why. They are run again by hand, as
// the command runs them: make regressions.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1005, "the soak asked for the newest accepted version, while a later one without an answer was in force"},
	{1009, "as 1005"},
	{1011, "a stream that was handed over broke, and how often it had been sent to engines wasn't told"},
	{22, "an account began at once to ask for twelve times its rate at all gateways, each of which admitted all until it heard of the others: 131 to 141 requests within 4 s, where 130 are the most"},
	{5000, "the same account, hot for longer: what left the window at once was admitted again at once by all gateways, 132 to 136 requests"},
	{5005, "as 5000, while gateways are cut off and restarted: 131 requests"},
	{5015, "as 5005, 132 requests"},
	{5032, "as 5005, 131 requests"},
	{5041, "as 5005, 142 requests"},
	{6026, "one gateway was cut off from all others as the account turned hot, and took what they had taken to be left: 135 requests"},
	{35145, "not traced: the account that may ask for little had 132 requests run in a window, 130 are the most; clean when run again"},
	{7, "as 5000, in each of two runs: 137 and 138 requests"},
	{38000, "a gateway that a request was handed over to sent it to two engines and was killed before it could report that: the request reached three"},
	{38019, "the soak itself ended with a panic: a connection was accepted as the run ended"},
}

// build builds linenscaled.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "linenscaled")
	out, err := exec.Command("go", "build", "-o", program, "../cmd/linenscaled").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	return program
}

// logs gives a folder that is kept where the test fails.
func logs(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak-"+filepath.Base(t.Name())+"-")
	must.NoError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("logs are in", dir)
			return
		}
		must.NoError(t, os.RemoveAll(dir))
	})
	return dir
}

func run(t *testing.T, opts soak.Options, harming time.Duration) {
	t.Helper()
	opts.Program, opts.Dir, opts.Regions, opts.Bandwidth = build(t), logs(t), 3, width.Usual
	report, err := soak.Run(context.Background(), opts, harming)
	must.NoError(t, err)
	t.Log(report)
	must.SliceEmpty(t, report.Problems)
	must.Greater(t, 100, report.Checks)
}

// TestPromisesAreKeptUnderHarm is the short run.
func TestPromisesAreKeptUnderHarm(t *testing.T) {
	run(t, soak.Options{Seed: 1, Gateways: 1, Engines: 1}, 8*time.Second)
}

// TestRegressions runs the seeds that failed once.
func TestRegressions(t *testing.T) {
	if os.Getenv("LINENSCALE_SOAK") == "" {
		t.Skip("they are run by hand, with LINENSCALE_SOAK=1")
	}
	for _, r := range regressions {
		t.Run(fmt.Sprint(r.seed), func(t *testing.T) {
			t.Log(r.cause)
			run(t, soak.Options{Seed: r.seed, Gateways: 2, Engines: 2}, 20*time.Second)
		})
	}
}
