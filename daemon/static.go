// This file defines an authority and peers that never change, for a process
// that runs without a control log.

package daemon

import (
	"context"
	"sort"
	"time"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/once"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/settings"
)

// static implements gateway.Authority, gateway.Peers and gateway.Keys.
type static struct {
	host   settings.Host
	config declare.Config
	guard  permit.Guard
	fleet  *fleet.Fleet
}

func (s *static) Serving() (permit.Guard, declare.Config, error) { return s.guard, s.config, nil }

func (s *static) Regions(service string) []route.Digest {
	for _, d := range s.fleet.Digests() {
		if d.Service == service {
			return []route.Digest{d.Digest}
		}
	}
	return nil
}

func (s *static) Entries() []declare.Host {
	hosts := declare.Each[declare.Host](s.config)
	sort.SliceStable(hosts, func(i, j int) bool { return s.distance(hosts[i]) < s.distance(hosts[j]) })
	return hosts
}

func (s *static) distance(host declare.Host) int {
	switch {
	case host.DataCentre == s.host.DataCentre:
		return 0
	case s.config.RegionOf(host.DataCentre) == s.host.Region:
		return 1
	default:
		return 2
	}
}

func (s *static) Begin(context.Context, request.Request, uint64) (once.Verdict, error) {
	return nil, &request.NotRun{Reason: request.ReasonNoHome, Message: "this process keeps no keys", RetryAfter: time.Second}
}
func (s *static) Finish(context.Context, request.Request, once.Answer) error { return nil }
func (s *static) Release(context.Context, request.Request) error             { return nil }
func (s *static) Lose(context.Context, request.Request) error                { return nil }
