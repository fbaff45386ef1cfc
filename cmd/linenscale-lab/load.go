package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/juju/errors"

	"github.com/linenscale/linenscale/load"
)

// loadCommand sends the same load to an engine directly and through the gateway, to
// compare their latencies.
type loadCommand struct {
	command *flaggy.Subcommand
	opts    load.Options
	direct  string
	gateway string
	json    bool
}

func newLoadCommand() *loadCommand {
	c := &loadCommand{command: flaggy.NewSubcommand("load"), opts: load.Options{
		Rate: 50, Duration: 5 * time.Second, AnswerTokens: 16, PromptBytes: 256, Stream: true, MaxInFlight: 512,
	}}
	c.command.Description = "send requests at a fixed rate, to an engine directly and through the gateway, and compare"
	c.command.String(&c.direct, "d", "direct", "URL of an engine's completions; empty to leave out")
	c.command.String(&c.gateway, "g", "gateway", "URL of the same through the gateway")
	c.command.String(&c.opts.Model, "m", "model", "model to ask for")
	c.command.String(&c.opts.Home, "o", "home", "home region of the callers")
	c.command.Float64(&c.opts.Rate, "r", "rate", "requests a second")
	c.command.Duration(&c.opts.Duration, "t", "time", "how long to send")
	c.command.Int(&c.opts.AnswerTokens, "k", "tokens", "tokens of each answer")
	c.command.Int(&c.opts.PromptBytes, "p", "prompt", "bytes of each prompt")
	c.command.Bool(&c.opts.Stream, "e", "stream", "ask for event streams")
	c.command.Int(&c.opts.MaxInFlight, "c", "parallel", "most requests in flight")
	c.command.Bool(&c.json, "j", "json", "print JSON")
	return c
}

func (c *loadCommand) run(ctx context.Context) error {
	var results []load.Result
	for _, target := range []struct{ name, url string }{{"direct", c.direct}, {"gateway", c.gateway}} {
		if target.url == "" {
			continue
		}
		opts := c.opts
		opts.URL = target.url
		result, err := load.Run(ctx, target.name, opts)
		if err != nil {
			return errors.Trace(err)
		}
		results = append(results, result)
	}
	if c.json {
		return errors.Trace(json.NewEncoder(os.Stdout).Encode(results))
	}
	return load.Table(os.Stdout, results)
}
