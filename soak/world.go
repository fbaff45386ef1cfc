package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/loopback"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/internal/suspension"
	"github.com/linenscale/linenscale/internal/width"
	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/settings"
)

// Options configures a World.
type Options struct {
	Program   string // path of the linenscaled binary
	Dir       string // empty folder for settings, data and logs
	Seed      uint64
	Regions   int
	Gateways  int     // in each region
	Engines   int     // of each service, in each region
	Bandwidth float64 // bits a second between two regions in each direction, for all traffic; 0 for no limit
}

// The same ports are used on every host, on its own IP address.
const (
	peerPort      = 7660
	lastPeerPort  = 7665
	callersPort   = 8144
	readyPort     = 8140
	operatorsPort = 8146
	directoryPort = 8143
	metricsPort   = 9464
)

// engineIP is the host part of the address of a region's engines. They have the run's own
// network: on an address that other runs use too, an engine gets the port of one that has
// just ended there, and the requests that are still sent to that.
const engineIP = 250

// heartbeat is the interval at which engines register, and the heartbeat of the hosts'
// settings.
const heartbeat = 300 * time.Millisecond

// Host is one gateway or control host, which runs as a process of its own.
type Host struct {
	Name      string
	Region    string
	IsControl bool

	settings   settings.Member
	listenIP   string // IP address that its process binds to, behind the proxy
	process    *exec.Cmd
	log        *os.File
	exited     chan struct{}
	paused     bool
	restarting bool // its process is being ended, and will be started again
	// endRequested is set once the soak has sent its process a signal to end.
	endRequested atomic.Bool
}

// World is one small deployment under test, with its network, checker and timeline. New
// makes one.
type World struct {
	Options
	Net        *Network
	Hosts      []*Host
	Checker    *Checker
	Timeline   *Timeline
	random     *rand.Rand
	regions    map[string]string   // by data centre
	publicNets []*loopback.Network // by region: addresses at which hosts are reached, through the proxy
	listenNets []*loopback.Network // by region: addresses on which hosts listen, behind the proxy
	seeds      []string
	ctx        context.Context
	group      *conc.WaitGroup

	enginesStarted atomic.Int64
	released       atomic.Bool // engines of the second version start too

	mu       sync.Mutex
	engines  []*Engine
	lastWipe time.Time // when a data folder was last deleted
}

// Engine is one engine, with its service and its region.
type Engine struct {
	*platformtest.Engine
	Service, Region string
	stop            context.CancelFunc
}

// New makes a world and starts its hosts and engines. The engines and the proxy end with
// ctx; Stop ends the hosts. If the rate-limited engine can't be started, New returns both
// an error and the world, which must be stopped.
func New(ctx context.Context, group *conc.WaitGroup, opts Options) (*World, error) {
	if entries, err := os.ReadDir(opts.Dir); err != nil || len(entries) > 0 {
		return nil, errors.Errorf("folder %s must exist and be empty (it has %d entries; read error: %v)", opts.Dir, len(entries), err)
	}
	timeline, err := NewTimeline(opts.Dir)
	if err != nil {
		return nil, err
	}
	w := &World{
		Timeline: timeline, Options: opts, Net: NewNetwork(ctx, group, width.New(opts.Bandwidth)), Checker: NewChecker(), random: rand.New(rand.NewPCG(opts.Seed, 11)),
		regions: make(map[string]string), ctx: ctx, group: group,
	}
	w.recordSuspensions()
	for r := range opts.Regions {
		w.regions[fmt.Sprintf("dc%d", r)] = fmt.Sprintf("region%d", r)
		public, err := w.claimNetwork()
		if err != nil {
			return nil, err
		}
		listen, err := w.claimNetwork()
		if err != nil {
			return nil, err
		}
		w.publicNets, w.listenNets = append(w.publicNets, public), append(w.listenNets, listen)
		w.seeds = append(w.seeds, address(public.IP(1), operatorsPort))
	}
	for r := range opts.Regions {
		for h := range 1 + opts.Gateways {
			if err := w.addHost(r, h); err != nil {
				return nil, err
			}
		}
	}
	for _, h := range w.Hosts {
		if err := w.start(h); err != nil {
			return nil, err
		}
	}
	for r := range opts.Regions {
		for range opts.Engines {
			for _, service := range []string{"portal", "model"} {
				if _, err := w.addEngine(service, r); err != nil {
					return nil, err
				}
			}
		}
	}
	return w, w.addLimitedEngine()
}

// recordSuspensions records when this process didn't run. All traffic between hosts passes
// through it, so that they couldn't reach each other meanwhile.
func (w *World) recordSuspensions() {
	detector := suspension.New(steady.Time, func(length time.Duration) {
		w.Timeline.Record("process did not run", "for=%v", length)
	})
	w.group.Go(func() { _ = detector.Run(w.ctx) }) // it returns only when the world ends
}

// claimNetwork reserves a loopback network until the world's context ends.
func (w *World) claimNetwork() (*loopback.Network, error) {
	network, err := loopback.Claim()
	if err != nil {
		return nil, errors.Trace(err)
	}
	w.group.Go(func() {
		<-w.ctx.Done()
		_ = network.Close() // there is nothing to clean up after a failure
	})
	return network, nil
}

// addHost makes a host's settings and the proxies in front of it. Host 0 of each region
// is its control host.
func (w *World) addHost(region, number int) error {
	public, listen := w.publicNets[region].IP(number+1), w.listenNets[region].IP(number+1)
	h := &Host{Name: fmt.Sprintf("gateway%d-%d", region, number), Region: fmt.Sprintf("region%d", region), IsControl: number == 0, listenIP: listen}
	h.settings = settings.Member{
		Deployment: fmt.Sprintf("soak-%d-%s", w.Seed, w.publicNets[0].IP(1)), Role: roster.RoleGateway, Region: h.Region, DataCentre: fmt.Sprintf("dc%d", region), IP: public, Bind: listen,
		Ports: []int{peerPort, lastPeerPort}, Seeds: w.seeds, FirstStart: true, Regions: w.regions, MaxVoterLosses: (w.Regions - 1) / 2, Heartbeat: heartbeat,
		StopTime: 5 * time.Second, Retries: settings.RetryBudget{Share: 0.2, Extra: 60, Window: 10 * time.Second},
		KeysRevokedWithin: keyRevocationBound, Allowances: allowanceBounds,
		Listen: settings.ListenAddresses{Metrics: address(public, metricsPort)},
	}
	ports := []int{peerPort, peerPort + 1, callersPort, readyPort}
	if h.IsControl {
		h.Name = fmt.Sprintf("control%d", region)
		h.settings.Role = roster.RoleControl
		h.settings.DataDir = filepath.Join(w.Dir, h.Name)
		h.settings.Listen.Operators, h.settings.Listen.Directory = address(public, operatorsPort), address(public, directoryPort)
		ports = []int{peerPort, operatorsPort, directoryPort}
	} else {
		h.settings.Listen.Callers, h.settings.Listen.Ready = address(public, callersPort), address(public, readyPort)
	}
	h.settings.Name = h.Name
	w.Net.AddHost(h.Name, h.Region, listen)
	for _, port := range ports {
		if err := w.Net.Forward(h.Name, address(public, port), address(listen, port)); err != nil {
			return err
		}
	}
	w.Hosts = append(w.Hosts, h)
	return w.Net.ForwardDatagrams(h.Name, address(public, peerPort), address(listen, peerPort))
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// usualFaults returns the faults of an engine in which no other fault is injected: some answers
// have neither a length nor chunks, some are cut short or stop within their head, some never end, and
// some have a head that isn't valid.
func usualFaults() *platformtest.FaultPlan {
	return platformtest.NewFaultCycle(
		unframedPeriod,
		platformtest.FaultNoLength, platformtest.FaultNoLengthInside, platformtest.FaultNoLength, platformtest.FaultNoLengthEvent,
		platformtest.FaultNoLength, platformtest.FaultNoLengthLine, platformtest.FaultTerminatedInside, platformtest.FaultNoLengthHead,
		platformtest.FaultChunksCut, platformtest.FaultNoLengthReset, platformtest.FaultChunksGarbage, platformtest.FaultChunksReset,
		platformtest.FaultEndlessHeader, platformtest.FaultEndlessInformational, platformtest.FaultEndlessGarbage,
		platformtest.FaultHeadCut, platformtest.FaultHeadCutReset,
		platformtest.FaultInvalidStatus, platformtest.FaultBlankInName, platformtest.FaultBlankInFraming, platformtest.FaultChunksInHTTP10,
	)
}

// engineReceiveBuffer is the size of an engine's receive buffers, in bytes. Uploads are longer.
const engineReceiveBuffer = 16 << 10

// unframedPeriod is how many answers an engine sends between two that usualFaults affects.
const unframedPeriod = 10

// addEngine starts an engine that registers with all control hosts, and is replaced if it
// crashes.
func (w *World) addEngine(service string, region int) (*Engine, error) {
	ctx, cancel := context.WithCancel(w.ctx)
	group := pool.New()
	e, err := platformtest.StartEngine(ctx, group, address(w.listenNets[region].IP(engineIP), 0), platformtest.EngineOptions{
		Service: service, DataCentre: fmt.Sprintf("dc%d", region), Heartbeat: heartbeat, Pause: 15 * time.Millisecond, CrashOn: poisonBody, CrashOnPart: crashingPart, Version: w.nextVersion(), Events: streamEvents,
		LongPath: "/" + longKind + "/", LongPadding: longPadding, ReadPause: uploadReadPause, SendsUnread: w.enginesStarted.Load()%4 < 2, ReceiveBuffer: engineReceiveBuffer,
	})
	if err != nil {
		cancel()
		return nil, errors.Trace(err)
	}
	e.SetFaults(usualFaults())
	w.group.Go(func() { e.Register(ctx, slices.Clone(w.seeds)) })
	w.group.Go(group.Wait)
	one := &Engine{Engine: e, Service: service, Region: fmt.Sprintf("region%d", region), stop: cancel}
	w.group.Go(func() { w.replaceCrashed(ctx, one, region) })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines = append(w.engines, one)
	w.Checker.AddEngine(one)
	return one, nil
}

// liveEngines returns the engines that may be drawn for a fault: those that haven't been
// removed, drained or crashed.
func (w *World) liveEngines() []*Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.engines)
}

// removeEngine removes an engine from those that liveEngines returns.
func (w *World) removeEngine(e *Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines = slices.DeleteFunc(w.engines, func(o *Engine) bool { return o == e })
}

// gateways returns the gateways of a region, or of all regions for "".
func (w *World) gateways(region string) []*Host {
	var out []*Host
	for _, h := range w.Hosts {
		if !h.IsControl && (region == "" || h.Region == region) {
			out = append(out, h)
		}
	}
	return out
}

func (w *World) controlHosts() []*Host {
	var out []*Host
	for _, h := range w.Hosts {
		if h.IsControl {
			out = append(out, h)
		}
	}
	return out
}

// declaration returns the declaration of a version. Every version has the same routes for
// callers, and one route of its own, which is served only once the version is effective.
func declaration(version int64) ([]byte, error) {
	route := func(name, kind, service string, attempts int, resumable bool, homes ...string) platformtest.Route {
		return platformtest.Route{
			Name: name, Host: "soak", PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 3000, TargetLatencyMs: 1000,
			MaxAttempts: attempts, Service: service, Resumable: resumable, HomeRegions: homes,
		}
	}
	upload := route(uploadKind, "unsafe", "portal", 1, false, "region0")
	uploadStream := route(uploadStreamKind, "streaming", "model", 1, false, "region0")
	upload.TimeoutMs, uploadStream.TimeoutMs = int(uploadTimeout.Milliseconds()), int(uploadTimeout.Milliseconds())
	return json.Marshal(platformtest.Declaration{
		ConfigVersion: version,
		Routes: []platformtest.Route{
			route("safe", "safe", "portal", 2, false),
			route("unsafe", "unsafe", "portal", 1, false),
			route("bound", "safe", "portal", 2, false, "region0"),
			route("chat", "streaming", "model", 1, false),
			route("review", "streaming", "model", 2, true),
			route(longKind, "safe", "portal", 2, false, "region0"),
			upload,
			uploadStream,
			route(fmt.Sprintf("v%d", version), "safe", "portal", 2, false),
		},
		Tenants:  tenants(version),
		Services: []platformtest.Service{{Name: "portal"}, {Name: "model", Engine: &platformtest.ModelEngine{Slots: 8, KvTokens: 100_000}}},
	})
}

// putVersion declares a version at random control hosts until one accepts it; false on a
// timeout.
func (w *World) putVersion(version int64, timeout time.Duration) bool {
	return w.putVersionAt(w.controlHosts(), version, timeout)
}

// putVersionAt is putVersion with the control hosts to choose from.
func (w *World) putVersionAt(controls []*Host, version int64, timeout time.Duration) bool {
	body, err := declaration(version)
	if err != nil {
		return false
	}
	o := platformtest.Operator{Client: http.Client{Timeout: 1500 * time.Millisecond}}
	for until := time.Now().Add(timeout); time.Now().Before(until); {
		c := controls[rand.IntN(len(controls))]
		status, err := o.Put(w.ctx, c.settings.Listen.Operators, body)
		w.Timeline.Record("put", "host=%s version=%d status=%d error=%q", c.Name, version, status, fmt.Sprint(err))
		if err == nil && status == http.StatusOK {
			w.Checker.VersionAccepted(version)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
