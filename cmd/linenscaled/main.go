// Command linenscaled runs one entry host of linenscale.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/daemon"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	path, host, level := os.Getenv(settingsVariable), "", "info"
	check := false
	flaggy.SetName("linenscaled")
	flaggy.SetDescription("runs one host of the linenscale inference gateway")
	flaggy.String(&path, "s", "settings", "path of the YAML settings file; default $"+settingsVariable)
	flaggy.String(&host, "n", "host", "name of the host, from the settings, that this process is")
	flaggy.String(&level, "l", "log-level", "debug, info, warn or error")
	flaggy.Bool(&check, "c", "check", "check the settings and declarations, then exit")
	member := flaggy.NewSubcommand("member")
	member.Description = "runs a host whose settings name no other host: it finds them by seeds"
	flaggy.AttachSubcommand(member, 1)
	flaggy.Parse()
	switch {
	case path == "":
		flaggy.ShowHelpAndExit("settings are required")
	case member.Used:
		runMember(path, level, check)
	case host == "" && !check:
		flaggy.ShowHelpAndExit("host is required")
	default:
		runListed(path, host, level, check)
	}
}

// settingsVariable names the environment variable that gives the path of the
// settings.
const settingsVariable = "LINENSCALE_SETTINGS"

// runListed runs a host of a settings file that lists all hosts.
func runListed(path, host, level string, check bool) {
	s, err := settings.Read(path)
	if err != nil {
		fail(exitUsage, err)
	}
	if _, err := declare.LoadConfig(s.DeclarationsDir(), s.HostDeclarations()...); err != nil {
		fail(exitUsage, err)
	}
	if check {
		fmt.Println("settings and declarations are sound")
		return
	}
	log, err := telemetry.NewLogger(os.Stderr, level)
	if err != nil {
		fail(exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx, s, host, log); err != nil {
		fail(exitFailed, err)
	}
}

// runMember runs a host that finds the others by seeds.
func runMember(path, level string, check bool) {
	s, err := settings.ReadMember(path)
	if err != nil {
		fail(exitUsage, err)
	}
	if check {
		fmt.Println("settings are sound")
		return
	}
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMiB) << 20 * memoryPercent / 100)
	}
	debug.SetGCPercent(gcPercent)
	out := telemetry.NewBoundedWriter(os.Stdout)
	log, err := telemetry.NewLogger(out, level)
	if err != nil {
		fail(exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	writing, stopWriting := context.WithCancel(context.Background())
	group := pool.New().WithContext(writing)
	group.Go(out.Run)
	reload := make(chan struct{}, 1)
	group.Go(func(ctx context.Context) error { return hangups(ctx, reload) })
	failed := daemon.RunMember(ctx, path, reload, log)
	stopWriting()
	if err := group.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "log:", err)
	}
	if failed != nil {
		fail(exitFailed, failed)
	}
}

// memoryPercent is the share of the memory at which the garbage collector works
// harder; the rest is for bytes that have arrived and are not yet read.
const memoryPercent = 60

// gcPercent is how much the memory may grow before it is collected. Hosts are
// small and memory is dear: a collection more is cheaper than the memory.
const gcPercent = 50

// hangups passes SIGHUP on as a wish to reload. Unhandled, it would end the
// process.
func hangups(ctx context.Context, reload chan<- struct{}) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
		}
		select {
		case reload <- struct{}{}:
		default: // one is waiting already
		}
	}
}

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(code)
}
