package controller_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/loopback"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/replica"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/wire"
)

// regions of every test: a data centre each.
var regions = map[string]string{"a": "lagos", "b": "abuja", "c": "kano"}

// network lets a test cut hosts off from each other. Hosts are known by the IP
// number that they listen on and dial from.
type network struct {
	mu    sync.Mutex
	cut   map[string]bool
	conns map[net.Conn][2]string
	held  map[string]bool // hosts whose packets arrive only later
	late  []func()        // what is to arrive then
}

func newNetwork() *network {
	return &network{cut: make(map[string]bool), conns: make(map[net.Conn][2]string), held: make(map[string]bool)}
}

// isolate cuts a host off from all others, or joins it again.
func (n *network) isolate(ip string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[ip] = cut
	for conn, ends := range n.conns {
		if cut && (ends[0] == ip || ends[1] == ip) {
			conn.Close()
			delete(n.conns, conn)
		}
	}
}

// hold lets what a host sends on its connections arrive only once it is released, also after
// the connection was closed: the kernel goes on sending.
func (n *network) hold(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.held[ip] = true
}

func (n *network) release(ip string) {
	n.mu.Lock()
	late := n.late
	n.held[ip], n.late = false, nil
	n.mu.Unlock()
	for _, arrive := range late {
		arrive()
	}
}

// unless runs do now, or at the release of a host that is held.
func (n *network) unless(ip string, do func()) {
	n.mu.Lock()
	held := n.held[ip]
	if held {
		n.late = append(n.late, do)
	}
	n.mu.Unlock()
	if !held {
		do()
	}
}

// lateConn is a connection of a host that may be held.
type lateConn struct {
	net.Conn
	network *network
	ip      string
}

func (c *lateConn) Write(data []byte) (int, error) {
	data = slices.Clone(data)
	c.network.unless(c.ip, func() { _, _ = c.Conn.Write(data) }) // a broken connection is seen by reads
	return len(data), nil
}

func (c *lateConn) Close() error {
	c.network.unless(c.ip, func() { c.Conn.Close() })
	return nil
}

// dialer dials from a host.
type dialer struct {
	network *network
	ip      string
}

func (d dialer) DialContext(ctx context.Context, kind, address string) (net.Conn, error) {
	to, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	d.network.mu.Lock()
	cut := d.network.cut[d.ip] || d.network.cut[to]
	d.network.mu.Unlock()
	if cut {
		return nil, errors.New("cut off")
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	d.network.conns[conn] = [2]string{d.ip, to}
	return &lateConn{conn, d.network, d.ip}, nil
}

// host is one control host that can be stopped and started.
type host struct {
	t       *testing.T
	network *network
	ip      string
	centre  string
	seeds   []string
	folder  *disk.Memory
	life    int
	gather  time.Duration
	told    time.Duration
	log     *zap.Logger

	id     raft.ID
	c      *controller.Controller
	cancel context.CancelFunc
	group  *pool.Pool
}

// claimNetwork gives a test loopback addresses of its own.
func claimNetwork(t *testing.T) *loopback.Network {
	t.Helper()
	network, err := loopback.Claim()
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, network.Close()) })
	return network
}

const peerPort = "17401"

func peer(ip string) string { return net.JoinHostPort(ip, peerPort) }

// newHosts starts three control hosts that form a ledger.
func newHosts(t *testing.T) (*network, []*host) {
	t.Helper()
	n, addresses := newNetwork(), claimNetwork(t)
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, peer(addresses.IP(i+1)))
	}
	var hosts []*host
	for i, centre := range []string{"a", "b", "c"} {
		h := &host{t: t, network: n, ip: addresses.IP(i + 1), centre: centre, seeds: seeds, folder: disk.NewMemory(), gather: controller.GatherTime, told: patience, log: zap.NewNop()}
		h.id = raft.ID(peer(h.ip) + "#1")
		var voters []raft.ID
		for _, seed := range seeds {
			voters = append(voters, raft.ID(seed+"#1"))
		}
		must.NoError(t, replica.Form(h.folder, voters))
		h.start()
		hosts = append(hosts, h)
	}
	return n, hosts
}

func (h *host) start() {
	h.t.Helper()
	h.life++
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.group = cancel, pool.New()
	sender := wire.NewSender[raft.Envelope](dialer{h.network, h.ip}, follow.Service+".Deliver")
	var err error
	h.c, err = controller.New(controller.Deps{
		Self: roster.Host{
			Name: h.ip, Role: roster.RoleControl, Region: regions[h.centre], DataCentre: h.centre,
			Life: fmt.Sprintf("%s-%d", h.ip, h.life), Peer: peer(h.ip), Operators: h.ip + ":1",
		},
		Replica: h.id, Folder: h.folder, Voters: 3, Regions: regions, Heartbeat: 300 * time.Millisecond, Gather: h.gather, Told: h.told,
		Seeds: func() []string { return h.seeds }, Calls: wire.NewClient(dialer{h.network, h.ip}), Commands: wire.NewClient(dialer{h.network, h.ip}),
		Send: func(e raft.Envelope) { sender.Post(controller.PeerOf(e.To), e) },
		Log:  h.log, Clock: time.Now, Steady: steady.Now, Strict: true, Seed: uint64(h.life),
	})
	must.NoError(h.t, err)
	server := wire.NewServer()
	must.NoError(h.t, server.Register(follow.Service, controller.NewService(ctx, h.c)))
	listener, err := net.Listen("tcp", peer(h.ip))
	must.NoError(h.t, err)
	h.group.Go(func() { _ = server.Serve(ctx, listener) })
	h.group.Go(func() { _ = sender.Run(ctx) })
	h.group.Go(func() { _ = h.c.Run(ctx) })
	h.t.Cleanup(h.stop)
}

// stop ends the host as a kill does.
func (h *host) stop() {
	if h.cancel != nil {
		h.cancel()
		h.group.Wait()
		h.cancel = nil
	}
}

// losePower ends the host; what was not synced is gone.
func (h *host) losePower() {
	h.stop()
	h.folder.Crash(0)
}

// loseDisk ends the host and its folder; it comes back under a new identity.
func (h *host) loseDisk() {
	h.stop()
	h.folder.Lose()
	h.id = raft.ID(fmt.Sprintf("%s#new%d", peer(h.ip), h.life))
}

// within tries until it holds, for so long.
func within(t *testing.T, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, limit)
}

// patience is far more than any step takes: the tests assert no time.
const patience = 30 * time.Second

func version(v int64) (catalog.Catalog, []byte) {
	return catalog.Catalog{Version: v}, []byte(fmt.Sprintf("source of %d", v))
}

// put puts a version at a host until it is accepted.
func put(t *testing.T, h *host, v int64) {
	t.Helper()
	within(t, patience, fmt.Sprintf("version %d accepted", v), func() bool {
		c, source := version(v)
		_, err := h.c.Put(context.Background(), c, source)
		return err == nil
	})
}

// reads reads at a host until it answers, and expects the version.
func reads(t *testing.T, h *host, v int64) {
	t.Helper()
	within(t, patience, "a read answered", func() bool {
		state, err := h.c.Read(context.Background())
		if err != nil {
			return false
		}
		must.Eq(t, v, state.Catalog.Version)
		must.Eq(t, fmt.Sprintf("source of %d", v), string(state.Source))
		return true
	})
}
