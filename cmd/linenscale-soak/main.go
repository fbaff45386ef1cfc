// Command linenscale-soak injects faults into a small deployment of real processes, and
// checks that callers, engines and operators still get what linenscale guarantees them.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/linenscale/linenscale/internal/width"
	"github.com/linenscale/linenscale/soak"
)

// megabit is the unit of the --width flag, in bits.
const megabit = 1e6

func main() {
	program, dir := "bin/linenscaled", ""
	seed, seeds, gateways, engines, regions := uint64(0), 1, 2, 2, 3
	injectFor, mbits := 20*time.Second, width.DefaultBitsPerSecond/megabit
	flaggy.SetName("linenscale-soak")
	flaggy.SetDescription("does harm to real processes and checks what was promised")
	flaggy.String(&program, "p", "program", "path of linenscaled")
	flaggy.String(&dir, "d", "dir", "folder for settings, data and logs; default a new one, kept only where a promise was broken")
	flaggy.UInt64(&seed, "s", "seed", "first seed; 0 draws one from the clock")
	flaggy.Int(&seeds, "n", "seeds", "how many seeds to run, one after the other")
	flaggy.Duration(&injectFor, "t", "time", "how long harm is done in each run")
	flaggy.Int(&gateways, "g", "gateways", "gateways in each region")
	flaggy.Int(&engines, "e", "engines", "engines of each service in each region")
	flaggy.Int(&regions, "r", "regions", "regions, each with a control host")
	flaggy.Float64(&mbits, "w", "width", "Mbit/s between two regions each way, for all traffic; 0 for no bound")
	flaggy.Parse()
	if seed == 0 {
		seed = uint64(time.Now().UnixNano() % 1_000_000)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	failedRuns := 0
	for i := range uint64(seeds) {
		if !run(ctx, soak.Options{Program: program, Seed: seed + i, Regions: regions, Gateways: gateways, Engines: engines, Bandwidth: mbits * megabit}, dir, injectFor) {
			failedRuns++
		}
	}
	if failedRuns > 0 {
		fmt.Printf("%d of %d runs broke a promise\n", failedRuns, seeds)
		os.Exit(1)
	}
}

// run runs one seed, prints its report, and reports whether no guarantee was violated.
func run(ctx context.Context, opts soak.Options, dir string, injectFor time.Duration) bool {
	var err error
	opts.Dir = filepath.Join(dir, fmt.Sprint(opts.Seed))
	if dir == "" {
		opts.Dir, err = os.MkdirTemp("", fmt.Sprintf("soak-%d-", opts.Seed))
	} else {
		err = os.MkdirAll(opts.Dir, 0o700)
	}
	if err != nil {
		fmt.Println(err)
		return false
	}
	report, err := soak.Run(ctx, opts, injectFor)
	fmt.Print(report)
	if err != nil {
		fmt.Println(err)
	}
	if err == nil && len(report.Problems) == 0 {
		if dir == "" {
			_ = os.RemoveAll(opts.Dir) // best effort: only disk space is at stake
		}
		return true
	}
	fmt.Println("logs are in", opts.Dir)
	return false
}
