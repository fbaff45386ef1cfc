package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/width"
)

// LinkFault is what is done to the way between two hosts, or to one.
type LinkFault struct {
	Delay   time.Duration
	Blocked bool // nothing arrives, and nobody is told
}

// Network forwards what is sent to hosts' known addresses to where they listen,
// and does harm on the way. NewNetwork makes one.
type Network struct {
	ctx       context.Context // ends all forwarding
	group     *conc.WaitGroup // takes new goroutines from those that it runs, also while it is waited for
	bandwidth *width.Ways     // between regions

	mu      sync.Mutex
	regions map[string]string // regions of hosts
	hosts   map[string]string // names by the IP number that a host connects from
	faults  map[[2]string]LinkFault
	conns   map[net.Conn][2]string
}

// outside is the name of everybody who is no host: callers, operators, engines.
const outside = "outside"

// NewNetwork makes a network without hosts, and with that width between regions; its forwarding
// ends with ctx.
func NewNetwork(ctx context.Context, group *conc.WaitGroup, ways *width.Ways) *Network {
	return &Network{ctx: ctx, group: group, bandwidth: ways, regions: make(map[string]string), hosts: make(map[string]string), faults: make(map[[2]string]LinkFault), conns: make(map[net.Conn][2]string)}
}

// AddHost names the host of a region that connects from an IP number.
func (n *Network) AddHost(name, region, ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip], n.regions[name] = name, region
}

// regionsOf gives the regions of two hosts. Whoever is no host stands beside the other one.
func (n *Network) regionsOf(from, to string) (a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, known := n.regions[from]
	if !known {
		a = n.regions[to]
	}
	if b, known = n.regions[to]; !known {
		b = a
	}
	return a, b
}

// SetFault does harm to what goes from one host to another. The zero LinkFault ends it.
func (n *Network) SetFault(from, to string, h LinkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h == (LinkFault{}) {
		delete(n.faults, [2]string{from, to})
		return
	}
	n.faults[[2]string{from, to}] = h
}

// Heal ends all harm.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
}

// Reset resets every open connection of a host.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn, ends := range n.conns {
		if ends[0] == host || ends[1] == host {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a reset, and no orderly end
			}
			conn.Close()
			delete(n.conns, conn)
		}
	}
}

func (n *Network) faultBetween(from, to string) LinkFault {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[[2]string{from, to}]
}

func (n *Network) hostName(address net.Addr) string {
	ip, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return outside
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if name, ok := n.hosts[ip]; ok {
		return name
	}
	return outside
}

// Forward forwards TCP from a host's known address to where it listens.
func (n *Network) Forward(host, known, listens string) error {
	listener, err := net.Listen("tcp", known)
	if err != nil {
		return errors.Trace(err)
	}
	n.group.Go(func() {
		<-n.ctx.Done()
		listener.Close()
	})
	n.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.group.Go(func() { n.forwardConn(conn, n.hostName(conn.RemoteAddr()), host, listens) })
		}
	})
	return nil
}

// forwardConn forwards one connection.
func (n *Network) forwardConn(in net.Conn, from, to, listens string) {
	defer in.Close()
	if !n.waitFault(func() LinkFault { return n.dialFault(from, to) }) {
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	out, err := dialer.DialContext(n.ctx, "tcp", listens)
	if err != nil {
		if tcp, ok := in.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // a dead port resets
		}
		return
	}
	defer out.Close()
	n.track(in, from, to)
	n.track(out, from, to)
	defer n.untrack(in, out)
	group := pool.New()
	group.Go(func() { n.copyBytes(out, in, from, to) })
	group.Go(func() { n.copyBytes(in, out, to, from) })
	group.Wait()
}

// dialFault gives the harm to a connection that is being opened, which needs both
// ways.
func (n *Network) dialFault(from, to string) LinkFault {
	a, b := n.faultBetween(from, to), n.faultBetween(to, from)
	return LinkFault{Delay: a.Delay + b.Delay, Blocked: a.Blocked || b.Blocked}
}

// waitFault waits for as long as bytes are held up; false if all forwarding ended.
func (n *Network) waitFault(harm func() LinkFault) bool {
	if delay := harm().Delay; delay > 0 {
		time.Sleep(delay)
	}
	for harm().Blocked {
		select {
		case <-n.ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return n.ctx.Err() == nil
}

// pollInterval is how often a cut way is looked at.
const pollInterval = 20 * time.Millisecond

// copyBytes passes bytes on, one way. TCP keeps what a cut holds up.
func (n *Network) copyBytes(out, in net.Conn, from, to string) {
	buffer := make([]byte, 16<<10)
	a, b := n.regionsOf(from, to)
	for {
		count, err := in.Read(buffer)
		if count > 0 {
			if !n.waitFault(func() LinkFault { return n.faultBetween(from, to) }) || n.bandwidth.Pass(n.ctx, a, b, count) != nil {
				return
			}
			if _, err := out.Write(buffer[:count]); err != nil {
				in.Close()
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := out.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			if tcp, ok := out.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a reset is passed on as one
			}
			out.Close()
			return
		}
	}
}

func (n *Network) track(conn net.Conn, from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[conn] = [2]string{from, to}
}

func (n *Network) untrack(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range conns {
		delete(n.conns, conn)
	}
}

// ForwardDatagrams forwards UDP. What a cut holds up is lost.
func (n *Network) ForwardDatagrams(host, known, listens string) error {
	at, err := net.ResolveUDPAddr("udp4", known)
	if err != nil {
		return errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return errors.Trace(err)
	}
	to, err := net.ResolveUDPAddr("udp4", listens)
	if err != nil {
		return errors.Trace(err)
	}
	n.group.Go(func() {
		<-n.ctx.Done()
		conn.Close()
	})
	n.group.Go(func() {
		buffer := make([]byte, 64<<10)
		for {
			count, from, err := conn.ReadFromUDP(buffer)
			if err != nil {
				return
			}
			name := n.hostName(from)
			a, b := n.regionsOf(name, host)
			if !n.faultBetween(name, host).Blocked && n.bandwidth.Takes(a, b, count) {
				_, _ = conn.WriteToUDP(buffer[:count], to) // as good as lost
			}
		}
	})
	return nil
}
