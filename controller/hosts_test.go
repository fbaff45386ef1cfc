package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
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

// regions maps each data centre to its region.
var regions = map[string]string{"a": "lagos", "b": "abuja", "c": "kano"}

// network partitions hosts from each other. Hosts are identified by the IP address that
// they listen on and dial from.
type network struct {
	mu       sync.Mutex
	isolated map[string]bool
	conns    map[net.Conn][2]string
	delayed  map[string]bool // hosts whose packets are delayed
	pending  []func()        // the delayed packets
}

func newNetwork() *network {
	return &network{isolated: make(map[string]bool), conns: make(map[net.Conn][2]string), delayed: make(map[string]bool)}
}

// isolate partitions a host from all others, or ends the partition.
func (n *network) isolate(ip string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[ip] = isolated
	for conn, ends := range n.conns {
		if isolated && (ends[0] == ip || ends[1] == ip) {
			conn.Close()
			delete(n.conns, conn)
		}
	}
}

// delayPackets delays what a host sends until deliverDelayed, even if the connection is
// closed meanwhile: the kernel goes on sending.
func (n *network) delayPackets(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delayed[ip] = true
}

func (n *network) deliverDelayed(ip string) {
	n.mu.Lock()
	pending := n.pending
	n.delayed[ip], n.pending = false, nil
	n.mu.Unlock()
	for _, deliver := range pending {
		deliver()
	}
}

// send runs deliver now, or in deliverDelayed if the host's packets are delayed.
func (n *network) send(ip string, deliver func()) {
	n.mu.Lock()
	delayed := n.delayed[ip]
	if delayed {
		n.pending = append(n.pending, deliver)
	}
	n.mu.Unlock()
	if !delayed {
		deliver()
	}
}

// delayedConn is a connection of a host whose packets may be delayed.
type delayedConn struct {
	net.Conn
	network *network
	ip      string
}

func (c *delayedConn) Write(data []byte) (int, error) {
	data = slices.Clone(data)
	c.network.send(c.ip, func() { _, _ = c.Conn.Write(data) }) // reads detect a broken connection
	return len(data), nil
}

func (c *delayedConn) Close() error {
	c.network.send(c.ip, func() { c.Conn.Close() })
	return nil
}

// dialer dials from one host.
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
	isolated := d.network.isolated[d.ip] || d.network.isolated[to]
	d.network.mu.Unlock()
	if isolated {
		return nil, errors.New("host is isolated")
	}
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, kind, address)
	if err != nil {
		return nil, err
	}
	d.network.mu.Lock()
	defer d.network.mu.Unlock()
	d.network.conns[conn] = [2]string{d.ip, to}
	return &delayedConn{conn, d.network, d.ip}, nil
}

// host is a control host that can be stopped and restarted.
type host struct {
	t            *testing.T
	network      *network
	ip           string
	dataCentre   string
	seeds        []string
	folder       *disk.Memory
	incarnation  int
	gatherTime   time.Duration
	drainTimeout time.Duration
	log          *zap.Logger

	id     raft.ID
	c      *controller.Controller
	cancel context.CancelFunc
	group  *pool.Pool
}

// claimNetwork reserves loopback addresses for a test.
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
		h := &host{t: t, network: n, ip: addresses.IP(i + 1), dataCentre: centre, seeds: seeds, folder: disk.NewMemory(), gatherTime: controller.DefaultGatherTime, drainTimeout: stepTimeout, log: zap.NewNop()}
		h.id = raft.ID(peer(h.ip) + "#1")
		var voters []raft.ID
		for _, seed := range seeds {
			voters = append(voters, raft.ID(seed+"#1"))
		}
		must.NoError(t, replica.Initialize(h.folder, voters))
		h.start()
		hosts = append(hosts, h)
	}
	return n, hosts
}

func (h *host) start() {
	h.t.Helper()
	h.incarnation++
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.group = cancel, pool.New()
	sender := wire.NewSender[raft.Envelope](dialer{h.network, h.ip}, follow.Service+".Deliver")
	var err error
	h.c, err = controller.New(controller.Deps{
		Self: roster.Host{
			Name: h.ip, Role: roster.RoleControl, Region: regions[h.dataCentre], DataCentre: h.dataCentre,
			Life: fmt.Sprintf("%s-%d", h.ip, h.incarnation), Peer: peer(h.ip), Operators: h.ip + ":1",
		},
		Replica: h.id, Folder: h.folder, Voters: 3, Regions: regions, Heartbeat: 300 * time.Millisecond, GatherTime: h.gatherTime, DrainTimeout: h.drainTimeout,
		Seeds: func() []string { return h.seeds }, SyncCalls: wire.NewClient(dialer{h.network, h.ip}), Commands: wire.NewClient(dialer{h.network, h.ip}),
		Send: func(e raft.Envelope) { sender.Enqueue(controller.PeerAddress(e.To), e) },
		Log:  h.log, Clock: time.Now, SteadyClock: steady.Now, ConfirmState: true, Seed: uint64(h.incarnation),
		Random: rand.Float64,
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

// stop ends the host like a kill.
func (h *host) stop() {
	if h.cancel != nil {
		h.cancel()
		h.group.Wait()
		h.cancel = nil
	}
}

// losePower stops the host, and drops what wasn't synced to its disk.
func (h *host) losePower() {
	h.stop()
	h.folder.Crash(0)
}

// loseDisk stops the host and wipes its disk; it restarts under a new identity.
func (h *host) loseDisk() {
	h.stop()
	h.folder.RemoveAll()
	h.id = raft.ID(fmt.Sprintf("%s#new%d", peer(h.ip), h.incarnation))
}

// eventually waits until the condition is true, and fails the test after the limit.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, limit)
}

// stepTimeout is far more than any step takes: the tests assert no time.
const stepTimeout = 30 * time.Second

func testCatalog(v int64) (catalog.Catalog, []byte) {
	return catalog.Catalog{Version: v}, []byte(fmt.Sprintf("source of %d", v))
}

// putCatalog puts a version on a host, and retries until it is accepted.
func putCatalog(t *testing.T, h *host, v int64) {
	t.Helper()
	eventually(t, stepTimeout, fmt.Sprintf("version %d accepted", v), func() bool {
		c, source := testCatalog(v)
		_, err := h.c.Put(context.Background(), c, source)
		return err == nil
	})
}

// expectRead reads from a host until it answers, and checks the version.
func expectRead(t *testing.T, h *host, v int64) {
	t.Helper()
	eventually(t, stepTimeout, "a read answered", func() bool {
		state, err := h.c.Read(context.Background())
		if err != nil {
			return false
		}
		must.Eq(t, v, state.Catalog.Version)
		must.Eq(t, fmt.Sprintf("source of %d", v), string(state.Source))
		return true
	})
}

// restartWithLog restarts the host with another log.
func (h *host) restartWithLog(log *zap.Logger) {
	h.t.Helper()
	h.stop()
	h.log = log
	h.start()
}
