// Package probe polls the engines for their load and the platform for its list of
// hosts, and passes the results to a fleet.Fleet.
//
// Probes also detect an engine that no longer responds before a client's request fails
// on it.
//
// The platform's list can mark a host as draining, never as healthy. A host listed as
// "leaving" is draining at once. A host that isn't listed counts as draining only after
// it has been missing for missingTimeout from lists that are recent and name at least
// half of our engines' hosts. An empty or stale list is ignored.
package probe

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/internal/httphead"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/telemetry"
)

// Timing of the probes.
const (
	engineInterval   = time.Second
	eventsEvery      = 2 // every second probe of an engine fetches its evictions
	requestTimeout   = 400 * time.Millisecond
	hostListInterval = 500 * time.Millisecond
	// maxListAge is the age up to which a host list is used.
	maxListAge = 30 * time.Second
	// missingTimeout is how long a host must be unlisted to count as draining.
	missingTimeout = 5 * time.Second
	// maxResponseBytes bounds the body of a response, of which the decoder holds each value in
	// memory. A list of 50,000 hosts fits.
	maxResponseBytes = 4 << 20
	// maxConcurrentProbes limits the number of probes in flight.
	maxConcurrentProbes = 32
)

// Prober polls the engines of a fleet and the host list of the platform.
type Prober struct {
	fleet         *fleet.Fleet
	client        *http.Client
	platformURL   string
	log           *zap.Logger
	rounds        int                  // number of rounds of engine probes so far
	unlistedSince map[string]time.Time // by IP: time of the first list without it
	draining      map[string]bool      // by IP: state when it was last logged
}

// New returns a prober for the engines of f. platformURL is the base URL of the platform's
// host list; if it is empty, no host list is polled.
func New(f *fleet.Fleet, transport http.RoundTripper, platformURL string, log *zap.Logger) *Prober {
	return &Prober{
		fleet: f, client: &http.Client{Transport: httphead.New(transport), Timeout: requestTimeout},
		platformURL: platformURL, log: log,
		unlistedSince: make(map[string]time.Time), draining: make(map[string]bool),
	}
}

// Run polls the engines and the platform in one loop each until ctx ends. It returns nil.
func (p *Prober) Run(ctx context.Context) error {
	group := pool.New()
	group.Go(func() { runEvery(ctx, engineInterval, p.probeEngines) })
	if p.platformURL != "" {
		group.Go(func() { runEvery(ctx, hostListInterval, p.fetchHostList) })
	}
	group.Wait()
	return nil
}

// runEvery calls f at once and then after every interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	f(ctx)
	duty.Every(ctx, interval, func() { f(ctx) })
}

// probeEngines probes every engine of the fleet once and waits for the results.
func (p *Prober) probeEngines(ctx context.Context) {
	p.rounds++
	withEvictions := p.rounds%eventsEvery == 0
	group := pool.New().WithMaxGoroutines(maxConcurrentProbes)
	for _, e := range p.fleet.EngineAddresses() {
		group.Go(func() { p.probeEngine(ctx, e, withEvictions) })
	}
	group.Wait()
}

// probeEngine requests the load of one engine and passes the result to the fleet. A refused
// connection means that the engine's process has ended.
func (p *Prober) probeEngine(ctx context.Context, e fleet.EngineAddress, withEvictions bool) {
	var report fleet.LoadReport
	sentAt := time.Now()
	header, err := p.get(ctx, "http://"+e.Address+"/engine/load", &report)
	if ctx.Err() != nil {
		return
	}
	p.fleet.RecordProbe(e.Service, e.Engine, sentAt, err == nil)
	if header != nil {
		p.fleet.RecordProbeDraining(e.Service, e.Engine, header.Get(relay.HeaderDraining) == "true", sentAt)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		p.fleet.ConnectionRefused(e.Engine)
	}
	if err != nil {
		p.log.Debug("probe failed", zap.String("engine", e.Engine), telemetry.ErrorField(err))
		return
	}
	p.fleet.ApplyLoadReport(e.Service, e.Engine, report)
	if withEvictions {
		p.fetchEvictions(ctx, e)
	}
}

// fetchEvictions passes the prefixes that an engine has evicted from its cache to the
// fleet. It ignores errors.
func (p *Prober) fetchEvictions(ctx context.Context, e fleet.EngineAddress) {
	var events struct {
		Evicted []uint64 `json:"evicted"`
	}
	if _, err := p.get(ctx, "http://"+e.Address+"/engine/events", &events); err != nil {
		return
	}
	for _, prefix := range events.Evicted {
		p.fleet.RecordEviction(e.Service, e.Engine, prefix)
	}
}

// get decodes the JSON response to a GET request into a value. It returns the response
// header, also with an error, unless no response arrived.
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
		return resp.Header, errors.Errorf("unexpected HTTP status %d", resp.StatusCode)
	}
	return resp.Header, errors.Trace(json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(into))
}

// List is the platform's response to GET /hosts.
type List struct {
	At    time.Time  `json:"at"`
	Hosts []ListHost `json:"hosts"`
}

// ListHost is one host of the platform's list.
type ListHost struct {
	IP    string `json:"ip"`
	State string `json:"state"` // "live" or "leaving"
}

func (p *Prober) fetchHostList(ctx context.Context) {
	var list List
	if _, err := p.get(ctx, p.platformURL+"/hosts", &list); err != nil {
		p.log.Debug("host list request failed", telemetry.ErrorField(err))
		return
	}
	p.ApplyList(list, time.Now())
}

// ApplyList updates the draining state of the fleet's engines from a host list. It ignores
// an empty or stale list.
func (p *Prober) ApplyList(list List, now time.Time) {
	if len(list.Hosts) == 0 || now.Sub(list.At) > maxListAge {
		return
	}
	states := make(map[string]string, len(list.Hosts))
	for _, h := range list.Hosts {
		states[h.IP] = h.State
	}
	missingTooLong := p.updateUnlisted(states, now)
	p.fleet.SetDraining(func(address string) bool {
		ip, _, err := net.SplitHostPort(address)
		if err != nil {
			return false
		}
		draining := states[ip] == "leaving" || missingTooLong[ip]
		if draining != p.draining[ip] {
			p.draining[ip] = draining
			p.log.Info("platform", zap.String("ip", ip), zap.Bool("leaving", draining))
		}
		return draining
	})
}

// updateUnlisted records since when each engine's IP has been missing from the list, and
// returns the IPs that have been missing for missingTimeout. If more than half of the IPs
// are missing, it ignores the list, which is then assumed not to be for this deployment.
func (p *Prober) updateUnlisted(states map[string]string, now time.Time) map[string]bool {
	engineIPs := map[string]bool{}
	unlisted := 0
	for _, e := range p.fleet.EngineAddresses() {
		ip, _, err := net.SplitHostPort(e.Address)
		if err != nil || engineIPs[ip] {
			continue
		}
		engineIPs[ip] = true
		if states[ip] == "" {
			unlisted++
		}
	}
	draining := map[string]bool{}
	if unlisted*2 > len(engineIPs) {
		return draining
	}
	for ip := range engineIPs {
		if states[ip] != "" {
			delete(p.unlistedSince, ip)
			continue
		}
		if p.unlistedSince[ip].IsZero() {
			p.unlistedSince[ip] = now
		}
		draining[ip] = now.Sub(p.unlistedSince[ip]) >= missingTimeout
	}
	return draining
}
