// Package probe asks engines for their load and the platform for its list of
// hosts, and tells the fleet.
//
// A probe is also how an engine that has stopped answering is found before a
// caller finds it. What the platform's list says is believed in one direction
// only: a host that it calls leaving is leaving. A host that is missing from
// the list counts as leaving only if the list is fresh, names other hosts of
// ours, and goes on missing it; an empty or old list proves nothing.
package probe

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/telemetry"
)

// Timing of the probes.
const (
	engineInterval   = time.Second
	eventsEvery      = 2 // probes
	engineTimeout    = 400 * time.Millisecond
	platformInterval = 500 * time.Millisecond
	// platformFresh is the age up to which a list is believed.
	platformFresh = 30 * time.Second
	// missingFor is how long a host must be missing to count as leaving.
	missingFor = 5 * time.Second
	// parallel bounds the probes under way at one time.
	parallel = 32
)

// Prober runs the probes. New makes one.
type Prober struct {
	fleet    *fleet.Fleet
	client   *http.Client
	platform string
	log      *zap.Logger
	rounds   int
	missing  map[string]time.Time // since when an IP is not listed
	leaving  map[string]bool
}

// New makes a prober. platform is the base URL of the platform's list, empty
// for none.
func New(f *fleet.Fleet, transport http.RoundTripper, platform string, log *zap.Logger) *Prober {
	return &Prober{
		fleet: f, client: &http.Client{Transport: transport, Timeout: engineTimeout},
		platform: platform, log: log,
		missing: make(map[string]time.Time), leaving: make(map[string]bool),
	}
}

// Run probes until ctx ends: one duty for engines, one for the platform.
func (p *Prober) Run(ctx context.Context) error {
	group := pool.New()
	group.Go(func() { every(ctx, engineInterval, p.engines) })
	if p.platform != "" {
		group.Go(func() { every(ctx, platformInterval, p.hosts) })
	}
	group.Wait()
	return nil
}

// every does something at once, and then again and again until ctx ends.
func every(ctx context.Context, interval time.Duration, do func(context.Context)) {
	do(ctx)
	duty.Every(ctx, interval, func() { do(ctx) })
}

func (p *Prober) engines(ctx context.Context) {
	p.rounds++
	events := p.rounds%eventsEvery == 0
	group := pool.New().WithMaxGoroutines(parallel)
	for _, e := range p.fleet.Addresses() {
		group.Go(func() { p.engine(ctx, e, events) })
	}
	group.Wait()
}

func (p *Prober) engine(ctx context.Context, e fleet.Address, events bool) {
	var report fleet.Report
	sent := time.Now()
	head, err := p.get(ctx, "http://"+e.Address+"/engine/load", &report)
	if ctx.Err() != nil {
		return
	}
	p.fleet.Probe(e.Service, e.Engine, sent, err == nil)
	if head != nil {
		p.fleet.ProbedLeaving(e.Service, e.Engine, head.Get(relay.HeaderLeaving) == "true", sent)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.fleet.Refused(e.Engine)
	}
	if err != nil {
		p.log.Debug("probe failed", zap.String("engine", e.Engine), telemetry.Cause(err))
		return
	}
	p.fleet.SetReport(e.Service, e.Engine, report)
	if events {
		p.cacheEvents(ctx, e)
	}
}

// cacheEvents takes an engine's word of what it has evicted.
func (p *Prober) cacheEvents(ctx context.Context, e fleet.Address) {
	var events struct {
		Evicted []uint64 `json:"evicted"`
	}
	if _, err := p.get(ctx, "http://"+e.Address+"/engine/events", &events); err != nil {
		return
	}
	for _, prefix := range events.Evicted {
		p.fleet.Evicted(e.Service, e.Engine, prefix)
	}
}

// get reads an answer. Its head is given as far as one came.
func (p *Prober) get(ctx context.Context, url string, into any) (http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.Header, errors.Errorf("status %d", resp.StatusCode)
	}
	return resp.Header, errors.Trace(json.NewDecoder(resp.Body).Decode(into))
}

// List is the platform's answer to GET /hosts.
type List struct {
	At    time.Time  `json:"at"`
	Hosts []ListHost `json:"hosts"`
}

// ListHost is one host of the platform's list.
type ListHost struct {
	IP    string `json:"ip"`
	State string `json:"state"` // "live" or "leaving"
}

func (p *Prober) hosts(ctx context.Context) {
	var list List
	if _, err := p.get(ctx, p.platform+"/hosts", &list); err != nil {
		p.log.Debug("no list from the platform", telemetry.Cause(err))
		return
	}
	p.ApplyList(list, time.Now())
}

// ApplyList takes over what a list proves.
func (p *Prober) ApplyList(list List, now time.Time) {
	if len(list.Hosts) == 0 || now.Sub(list.At) > platformFresh {
		return
	}
	listed := make(map[string]string, len(list.Hosts))
	for _, h := range list.Hosts {
		listed[h.IP] = h.State
	}
	missing := p.noteMissing(listed, now)
	p.fleet.SetLeaving(func(address string) bool {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return false
		}
		leaving := listed[ip] == "leaving" || missing[ip]
		if leaving != p.leaving[ip] {
			p.leaving[ip] = leaving
			p.log.Info("platform", zap.String("ip", ip), zap.Bool("leaving", leaving))
		}
		return leaving
	})
}

// noteMissing gives the IPs that have been missing long enough. Where more
// than half of our engines' IPs are missing, the list is not one of ours.
func (p *Prober) noteMissing(listed map[string]string, now time.Time) map[string]bool {
	ours := map[string]bool{}
	gone := 0
	for _, e := range p.fleet.Addresses() {
		ip, _, err := net.SplitHostPort(e.Address)
		if err != nil || ours[ip] {
			continue
		}
		ours[ip] = true
		if listed[ip] == "" {
			gone++
		}
	}
	out := map[string]bool{}
	if gone*2 > len(ours) {
		return out
	}
	for ip := range ours {
		if listed[ip] != "" {
			delete(p.missing, ip)
			continue
		}
		if p.missing[ip].IsZero() {
			p.missing[ip] = now
		}
		out[ip] = now.Sub(p.missing[ip]) >= missingFor
	}
	return out
}
