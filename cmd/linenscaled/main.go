// Command linenscaled runs one entry host of linenscale.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

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
	path, host, level := "", "", "info"
	check := false
	flaggy.SetName("linenscaled")
	flaggy.SetDescription("runs one entry host of the linenscale inference gateway")
	flaggy.String(&path, "s", "settings", "path of the YAML settings file")
	flaggy.String(&host, "n", "host", "name of the host, from the settings, that this process is")
	flaggy.String(&level, "l", "log-level", "debug, info, warn or error")
	flaggy.Bool(&check, "c", "check", "check the settings and declarations, then exit")
	flaggy.Parse()
	if path == "" || (host == "" && !check) {
		flaggy.ShowHelpAndExit("settings and host are required")
	}
	s, err := settings.Read(path)
	if err != nil {
		fail(exitUsage, err)
	}
	if _, err := declare.LoadConfig(s.DeclarationsDir(), s.Objects()...); err != nil {
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

func fail(code int, err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(code)
}
