// Command linenscale is the operators' command-line tool. It reads and changes the
// configuration through the operators' API of any entry host, shows what gateways report
// next to their metrics, and traces requests through log files.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/operator"
)

// Exit codes.
const (
	exitFailed   = 1 // the request could not be made, or its outcome isn't known
	exitUsage    = 2
	exitRejected = 3 // the change was not accepted
)

// errRejected reports that a change was decided on and rejected. The reason has been
// printed.
var errRejected = errors.New("not accepted")

// tool holds the API client and the global flags, which all subcommands share.
type tool struct {
	client *operator.Client
	output string // table, json or yaml
	author string
}

// subcommand is a subcommand with its flags and the function that runs it.
type subcommand struct {
	command *flaggy.Subcommand
	run     func(ctx context.Context, t *tool) error
}

func main() {
	hosts := os.Getenv("LINENSCALE_HOSTS")
	t := &tool{output: "table", author: os.Getenv("USER")}
	timeout := 20 * time.Second
	flaggy.SetName("linenscale")
	flaggy.SetDescription("operates a linenscale system through any of its entry hosts")
	flaggy.String(&hosts, "H", "hosts", "operators' addresses of entry hosts, comma separated; default $LINENSCALE_HOSTS")
	flaggy.String(&t.output, "o", "output", "table, json or yaml")
	flaggy.String(&t.author, "u", "author", "who makes a change; default $USER")
	flaggy.Duration(&timeout, "t", "timeout", "longest wait for one answer")
	commands := []subcommand{
		applyCommand(), diffCommand(), deleteCommand(), labelCommand(), getCommand(), statusCommand(),
		hostsCommand(), historyCommand(), waitCommand(), explainCommand(),
	}
	trace := traceCommand()
	metricsCommands := []subcommand{accountsCommand(&hosts, &timeout), limitsCommand(&hosts, &timeout), enginesCommand(&hosts, &timeout)}
	flaggy.AttachSubcommand(trace.command, 1)
	for _, c := range metricsCommands {
		flaggy.AttachSubcommand(c.command, 1)
	}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.command, 1)
	}
	flaggy.Parse()
	if trace.command.Used { // reads log files and needs no host
		exit(trace.run(context.Background(), t))
	}
	if hosts == "" {
		flaggy.ShowHelpAndExit("name the entry hosts by -H or $LINENSCALE_HOSTS")
	}
	for _, c := range metricsCommands {
		if c.command.Used {
			exit(c.run(context.Background(), t))
		}
	}
	t.client = operator.NewClient(strings.Split(hosts, ","), timeout)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range commands {
		if c.command.Used {
			exit(c.run(ctx, t))
		}
	}
	flaggy.ShowHelpAndExit("name a subcommand")
}

func exit(err error) {
	switch {
	case err == nil:
		os.Exit(0)
	case errors.Is(err, errRejected):
		os.Exit(exitRejected)
	default:
		fmt.Fprintln(os.Stderr, "linenscale: "+err.Error())
		os.Exit(exitFailed)
	}
}
