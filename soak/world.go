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
	"syscall"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/loopback"
	"github.com/linenscale/linenscale/internal/width"
	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/settings"
)

// Options shapes a World.
type Options struct {
	Program   string // path of linenscaled
	Dir       string // for settings, data and logs
	Seed      uint64
	Regions   int
	Gateways  int     // in each region
	Engines   int     // of each service, in each region
	Bandwidth float64 // bits a second between two regions each way, for all traffic; 0 for no bound
}

// Ports of every host.
const (
	peerPort      = 7660
	lastPeerPort  = 7665
	callersPort   = 8144
	readyPort     = 8140
	operatorsPort = 8146
	directoryPort = 8143
	metricsPort   = 9464
)

// heartbeat is how often engines register.
const heartbeat = 300 * time.Millisecond

// Host is one process.
type Host struct {
	Name    string
	Region  string
	Control bool

	settings   settings.Member
	listenIP   string // IP number
	process    *exec.Cmd
	log        *os.File
	exited     chan struct{}
	paused     bool
	restarting bool // it is being ended, and will be started again
}

// World is one deployment and what happened to it. New makes one.
type World struct {
	Options
	Net        *Network
	Hosts      []*Host
	Checker    *Checker
	Timeline   *Timeline
	random     *rand.Rand
	regions    map[string]string   // by data centre
	publicNets []*loopback.Network // by region: where hosts are reached
	listenNets []*loopback.Network // and where they listen, behind the proxy
	seeds      []string
	ctx        context.Context
	group      *conc.WaitGroup

	mu       sync.Mutex
	engines  []*Engine
	lastWipe time.Time // when a data folder was last lost
}

// Engine is one engine with the place where it stands.
type Engine struct {
	*platformtest.Engine
	Service, Region string
	stop            context.CancelFunc
}

// New makes a world and starts its hosts and engines, which end with ctx.
func New(ctx context.Context, group *conc.WaitGroup, opts Options) (*World, error) {
	if entries, err := os.ReadDir(opts.Dir); err != nil || len(entries) > 0 {
		return nil, errors.Errorf("folder %s must be there and empty (%d entries, %v)", opts.Dir, len(entries), err)
	}
	timeline, err := NewTimeline(opts.Dir)
	if err != nil {
		return nil, err
	}
	w := &World{
		Timeline: timeline, Options: opts, Net: NewNetwork(ctx, group, width.New(opts.Bandwidth)), Checker: NewChecker(), random: rand.New(rand.NewPCG(opts.Seed, 11)),
		regions: make(map[string]string), ctx: ctx, group: group,
	}
	for r := range opts.Regions {
		w.regions[fmt.Sprintf("dc%d", r)] = fmt.Sprintf("region%d", r)
		known, err := w.claimNetwork()
		if err != nil {
			return nil, err
		}
		listens, err := w.claimNetwork()
		if err != nil {
			return nil, err
		}
		w.publicNets, w.listenNets = append(w.publicNets, known), append(w.listenNets, listens)
		w.seeds = append(w.seeds, address(known.IP(1), operatorsPort))
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

// claimNetwork claims a loopback network until the world's context ends.
func (w *World) claimNetwork() (*loopback.Network, error) {
	network, err := loopback.Claim()
	if err != nil {
		return nil, errors.Trace(err)
	}
	w.group.Go(func() {
		<-w.ctx.Done()
		_ = network.Close() // nothing is lost with it
	})
	return network, nil
}

// addHost makes a host's settings and the ways to it. The first of each region is
// its control host.
func (w *World) addHost(region, number int) error {
	known, listens := w.publicNets[region].IP(number+1), w.listenNets[region].IP(number+1)
	h := &Host{Name: fmt.Sprintf("gateway%d-%d", region, number), Region: fmt.Sprintf("region%d", region), Control: number == 0, listenIP: listens}
	h.settings = settings.Member{
		Deployment: fmt.Sprintf("soak-%d-%s", w.Seed, w.publicNets[0].IP(1)), Role: roster.RoleGateway, Region: h.Region, DataCentre: fmt.Sprintf("dc%d", region), IP: known, Bind: listens,
		Ports: []int{peerPort, lastPeerPort}, Seeds: w.seeds, FirstStart: true, Regions: w.regions, Losses: (w.Regions - 1) / 2, Heartbeat: heartbeat,
		StopTime: 5 * time.Second, Retries: settings.Retry{Share: 0.2, Extra: 60, Window: 10 * time.Second},
		KeysRevokedWithin: keyRevocationBound, Allowances: allowanceBounds,
		Listen: settings.Listen{Metrics: address(known, metricsPort)},
	}
	ports := []int{peerPort, peerPort + 1, callersPort, readyPort}
	if h.Control {
		h.Name = fmt.Sprintf("control%d", region)
		h.settings.Role = roster.RoleControl
		h.settings.DataDir = filepath.Join(w.Dir, h.Name)
		h.settings.Listen.Operators, h.settings.Listen.Directory = address(known, operatorsPort), address(known, directoryPort)
		ports = []int{peerPort, operatorsPort, directoryPort}
	} else {
		h.settings.Listen.Callers, h.settings.Listen.Ready = address(known, callersPort), address(known, readyPort)
	}
	h.settings.Name = h.Name
	w.Net.AddHost(h.Name, h.Region, listens)
	for _, port := range ports {
		if err := w.Net.Forward(h.Name, address(known, port), address(listens, port)); err != nil {
			return err
		}
	}
	w.Hosts = append(w.Hosts, h)
	return w.Net.ForwardDatagrams(h.Name, address(known, peerPort), address(listens, peerPort))
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts a host's process; what it writes goes to a file of its own.
func (w *World) start(h *Host) error {
	data, err := yaml.Marshal(h.settings)
	if err != nil {
		return errors.Trace(err)
	}
	path := filepath.Join(w.Dir, h.Name+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return errors.Trace(err)
	}
	if h.log == nil {
		if h.log, err = os.Create(filepath.Join(w.Dir, h.Name+".log")); err != nil {
			return errors.Trace(err)
		}
	}
	h.process = exec.Command(w.Program, "member", "--settings", path)
	h.process.Stdout, h.process.Stderr = h.log, h.log
	if err := h.process.Start(); err != nil {
		return errors.Trace(err)
	}
	h.paused = false
	w.Checker.RecordDisturbance(h.listenIP)
	h.settings.FirstStart = false
	exited, process := make(chan struct{}), h.process
	h.exited = exited
	w.group.Go(func() {
		_ = process.Wait() // how it ended is in its log
		close(exited)
	})
	return nil
}

// running tells whether a host's process runs.
func (h *Host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// signal sends a signal to a host's process, by its ID.
func (w *World) signal(h *Host, s syscall.Signal) {
	w.Checker.RecordDisturbance(h.listenIP)
	if h.running() {
		_ = h.process.Process.Signal(s) // it may end just now
	}
}

// kill ends a host's process at once and waits for its end.
func (w *World) kill(h *Host) {
	w.signal(h, syscall.SIGKILL)
	<-h.exited
}

// Stop ends all processes.
func (w *World) Stop() {
	for _, h := range w.Hosts {
		if h.process != nil {
			w.signal(h, syscall.SIGCONT)
			w.kill(h)
		}
	}
	_ = w.Timeline.Close() // what it holds is for whoever looks at a failed run
}

// addEngine starts an engine that registers with all control hosts.
func (w *World) addEngine(service string, region int) (*Engine, error) {
	ctx, cancel := context.WithCancel(w.ctx)
	group := pool.New()
	e, err := platformtest.StartEngine(ctx, group, "127.0.0.1:0", platformtest.EngineOptions{
		Service: service, DataCentre: fmt.Sprintf("dc%d", region), Heartbeat: heartbeat, Pause: 15 * time.Millisecond, CrashOn: poisonBody,
	})
	if err != nil {
		cancel()
		return nil, errors.Trace(err)
	}
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

// liveEngines gives the engines that have not been stopped.
func (w *World) liveEngines() []*Engine {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.engines)
}

// removeEngine takes an engine off the list of those that live.
func (w *World) removeEngine(e *Engine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engines = slices.DeleteFunc(w.engines, func(o *Engine) bool { return o == e })
}

// gateways gives the gateways of a region, or all for "".
func (w *World) gateways(region string) []*Host {
	var out []*Host
	for _, h := range w.Hosts {
		if !h.Control && (region == "" || h.Region == region) {
			out = append(out, h)
		}
	}
	return out
}

func (w *World) controlHosts() []*Host {
	var out []*Host
	for _, h := range w.Hosts {
		if h.Control {
			out = append(out, h)
		}
	}
	return out
}

// declaration is what the operator declares as a version. Every version has the
// routes of the callers, and one of its own by which its being in force is seen.
func declaration(version int64) ([]byte, error) {
	route := func(name, kind, service string, attempts int, resumable bool, homes ...string) platformtest.Route {
		return platformtest.Route{
			Name: name, Host: "soak", PathPrefix: "/" + name + "/", Kind: kind, TimeoutMs: 3000, TargetLatencyMs: 1000,
			MaxAttempts: attempts, Service: service, Resumable: resumable, HomeRegions: homes,
		}
	}
	return json.Marshal(platformtest.Declaration{
		ConfigVersion: version,
		Routes: []platformtest.Route{
			route("safe", "safe", "portal", 2, false),
			route("unsafe", "unsafe", "portal", 1, false),
			route("bound", "safe", "portal", 2, false, "region0"),
			route("chat", "streaming", "model", 1, false),
			route("review", "streaming", "model", 2, true),
			route(fmt.Sprintf("v%d", version), "safe", "portal", 2, false),
		},
		Tenants:  tenants(version),
		Services: []platformtest.Service{{Name: "portal"}, {Name: "model", Engine: &platformtest.ModelEngine{Slots: 8, KvTokens: 100_000}}},
	})
}

// putVersion puts a version until a control host accepts it, or time is up.
func (w *World) putVersion(version int64, patience time.Duration) bool {
	body, err := declaration(version)
	if err != nil {
		return false
	}
	o := platformtest.Operator{Client: http.Client{Timeout: 1500 * time.Millisecond}}
	controls := w.controlHosts()
	for until := time.Now().Add(patience); time.Now().Before(until); {
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
