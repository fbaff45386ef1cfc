// Command linenscaled runs one host of the linenscale inference gateway.
//
// A host either has a settings file that lists all hosts and is given its own name, or
// runs as a member, whose settings name no other host and which discovers the others
// through seeds.
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
	"github.com/linenscale/linenscale/internal/hangup"
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
		hangup.Stop() // it has no settings to reload
		runListedHost(path, host, level, check)
	}
}

// settingsVariable is the environment variable with the default path of the settings file.
const settingsVariable = "LINENSCALE_SETTINGS"

// runListedHost runs one host of a settings file that lists all hosts. If check is set,
// it only validates the settings and declarations.
func runListedHost(path, host, level string, check bool) {
	s, err := settings.Read(path)
	if err != nil {
		exitWith(exitUsage, err)
	}
	if _, err := declare.LoadConfig(s.DeclarationsDir(), s.HostDeclarations()...); err != nil {
		exitWith(exitUsage, err)
	}
	if check {
		fmt.Println("settings and declarations are sound")
		return
	}
	log, err := telemetry.NewLogger(os.Stderr, level)
	if err != nil {
		exitWith(exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := daemon.Run(ctx, s, host, log); err != nil {
		exitWith(exitFailed, err)
	}
}

// runMember runs a host that discovers the others through seeds. If check is set, it only
// validates the settings.
func runMember(path, level string, check bool) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, err := settings.ReadMember(path)
	if err != nil {
		exitWith(exitUsage, err)
	}
	if check {
		fmt.Println("settings are sound")
		return
	}
	if s.MemoryMiB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMiB) << 20 * memoryLimitPercent / 100)
	}
	debug.SetGCPercent(gcPercent)
	writer := telemetry.NewBoundedWriter(os.Stdout)
	log, err := telemetry.NewLogger(writer, level)
	if err != nil {
		exitWith(exitUsage, err)
	}
	writerCtx, stopWriter := context.WithCancel(context.Background())
	group := pool.New().WithContext(writerCtx)
	group.Go(writer.Run)
	reload := make(chan struct{}, 1)
	group.Go(func(ctx context.Context) error { return forwardHangups(ctx, hangup.Signals(), reload) })
	runErr := daemon.RunMember(ctx, path, reload, log)
	stopWriter()
	if err := group.Wait(); err != nil {
		fmt.Fprintln(os.Stderr, "log:", err)
	}
	if runErr != nil {
		exitWith(exitFailed, runErr)
	}
}

// memoryLimitPercent is the share of the host's memory that is set as the soft limit of
// the Go runtime, near which it collects garbage more often. The rest is left for data
// that has arrived and that the process hasn't read yet.
const memoryLimitPercent = 60

// gcPercent is the heap growth, in percent, that triggers a garbage collection. It is
// below Go's default of 100 because hosts have little memory: more frequent collections
// cost less than a larger heap.
const gcPercent = 50

// forwardHangups requests a reload of the settings for each SIGHUP until ctx ends.
func forwardHangups(ctx context.Context, hangups <-chan os.Signal, reload chan<- struct{}) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hangups:
		}
		select {
		case reload <- struct{}{}:
		default: // a reload is pending already
		}
	}
}

func exitWith(code int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(code)
}
