// Package lab runs the stand-ins of one association for trials on one machine: all its
// engines and plain services, the platform's list of them, and the network between its
// regions. They listen on the loopback addresses that the settings and declarations of
// the association name.
package lab

import (
	"context"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/width"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/standin"
)

// Options configures the stand-ins.
type Options struct {
	Delay       time.Duration // one-way delay between regions
	PlatformLag time.Duration // delay until a change appears in the platform's list
	Control     string        // address that accepts POST /cut, which partitions regions; "" for none
	Engine      standin.EngineOptions
	PlainTime   time.Duration // time that a plain service takes for a call
}

// Run runs all stand-ins until ctx ends or one of them fails.
func Run(ctx context.Context, s settings.Settings, opts Options) error {
	config, err := declare.LoadConfig(s.DeclarationsDir(), s.HostDeclarations()...)
	if err != nil {
		return errors.Trace(err)
	}
	platform := standin.NewPlatform(opts.PlatformLag, time.Now)
	wan := standin.NewWAN(opts.Delay, width.New(width.DefaultBitsPerSecond), links(s), regionLookup(s))
	group := pool.New().WithContext(ctx).WithCancelOnError()
	for i, e := range declare.ObjectsOf[declare.Engine](config) {
		ip, _, _ := net.SplitHostPort(e.Address)
		platform.Set(ip, "live")
		handler := newBackend(config, e, opts, uint64(i))
		group.Go(func(ctx context.Context) error { return serve(ctx, e.Address, handler) })
	}
	if s.Platform != "" {
		address := strings.TrimPrefix(s.Platform, "http://")
		group.Go(func(ctx context.Context) error { return serve(ctx, address, platform) })
	}
	if opts.Control != "" {
		group.Go(func(ctx context.Context) error { return serve(ctx, opts.Control, wan) })
	}
	group.Go(wan.Run)
	return group.Wait()
}

func newBackend(config declare.Config, e declare.Engine, opts Options, seed uint64) http.Handler {
	service, _ := config.Service(e.Service)
	if service.Type == declare.ServicePlain {
		return standin.NewPlain(e.Name, opts.PlainTime)
	}
	engine := opts.Engine
	engine.Name, engine.Slots, engine.Seed = e.Name, e.Slots, seed
	return standin.NewEngine(engine)
}

// links returns, for every host that has a wide-area address, the links that forward its
// hand-over and control ports.
func links(s settings.Settings) []standin.Link {
	var out []standin.Link
	for _, h := range s.Hosts {
		if h.WideArea == "" {
			continue
		}
		for _, address := range []string{h.Handover, h.Control} {
			port := address[strings.LastIndexByte(address, ':'):]
			out = append(out, standin.Link{Listen: h.WideArea + port, Target: address, Region: h.Region})
		}
	}
	return out
}

func regionLookup(s settings.Settings) func(ip string) string {
	regions := map[string]string{}
	for _, h := range s.Hosts {
		ip, _, _ := net.SplitHostPort(h.Control)
		regions[ip] = h.Region
	}
	return func(ip string) string { return regions[ip] }
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotate(err, "stand-in")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

const readHeaderTimeout = 10 * time.Second
