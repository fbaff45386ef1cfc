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

// LinkFault is the fault that is injected into one direction of the link between two hosts.
type LinkFault struct {
	Delay   time.Duration
	Blocked bool // nothing arrives, and the sender gets no error
}

// Network is a proxy in front of all hosts. It forwards what is sent to a host's public
// address to the address on which the host listens, and injects faults between hosts.
// NewNetwork makes one. It is safe for concurrent use.
type Network struct {
	ctx       context.Context // ends all forwarding
	group     *conc.WaitGroup // its goroutines may start others, also while Wait is called
	bandwidth *width.Links    // limit between regions

	mu      sync.Mutex
	regions map[string]string // regions by host name
	hosts   map[string]string // host names by the IP address that the host connects from
	faults  map[[2]string]LinkFault
	conns   map[net.Conn][2]string
}

// outside is the name of all peers that aren't hosts: callers, operators and engines.
const outside = "outside"

// NewNetwork returns a network without hosts, whose traffic between regions is limited by
// bandwidth. Forwarding ends with ctx.
func NewNetwork(ctx context.Context, group *conc.WaitGroup, bandwidth *width.Links) *Network {
	return &Network{ctx: ctx, group: group, bandwidth: bandwidth, regions: make(map[string]string), hosts: make(map[string]string), faults: make(map[[2]string]LinkFault), conns: make(map[net.Conn][2]string)}
}

// AddHost adds a host, its region and the IP address that it connects from.
func (n *Network) AddHost(name, region, ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip], n.regions[name] = name, region
}

// regionsOf returns the regions of two hosts. A peer that isn't a host counts as in the
// region of the other one, so that its traffic isn't limited by the bandwidth between
// regions.
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

// SetFault injects a fault into the traffic from one host to another. The zero LinkFault
// ends it.
func (n *Network) SetFault(from, to string, h LinkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h == (LinkFault{}) {
		delete(n.faults, [2]string{from, to})
		return
	}
	n.faults[[2]string{from, to}] = h
}

// ClearFaults removes the faults of all links.
func (n *Network) ClearFaults() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.faults)
}

// ResetConnections resets every open connection of a host.
func (n *Network) ResetConnections(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn, ends := range n.conns {
		if ends[0] == host || ends[1] == host {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // Close then sends a reset instead of a FIN
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

// Forward forwards TCP connections from a host's public address to the address on which it
// listens. The error says that the public address can't be listened on.
func (n *Network) Forward(host, public, listen string) error {
	listener, err := net.Listen("tcp", public)
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
			n.group.Go(func() { n.forwardConn(conn, n.hostName(conn.RemoteAddr()), host, listen) })
		}
	})
	return nil
}

// forwardConn forwards one connection until either side closes it or a reset ends it.
func (n *Network) forwardConn(in net.Conn, from, to, listen string) {
	defer in.Close()
	if !n.waitFault(func() LinkFault { return n.dialFault(from, to) }) {
		return
	}
	dialer := net.Dialer{Timeout: time.Second}
	out, err := dialer.DialContext(n.ctx, "tcp", listen)
	if err != nil {
		if tcp, ok := in.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // like a closed port
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

// dialFault returns the fault that a new connection meets. The TCP handshake needs both
// directions of the link.
func (n *Network) dialFault(from, to string) LinkFault {
	a, b := n.faultBetween(from, to), n.faultBetween(to, from)
	return LinkFault{Delay: a.Delay + b.Delay, Blocked: a.Blocked || b.Blocked}
}

// waitFault waits out the delay of a fault and then for as long as the link is blocked.
// It returns false if forwarding has ended.
func (n *Network) waitFault(current func() LinkFault) bool {
	if delay := current().Delay; delay > 0 {
		time.Sleep(delay)
	}
	for current().Blocked {
		select {
		case <-n.ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return n.ctx.Err() == nil
}

// pollInterval is how often waits check whether what they wait for has come about.
const pollInterval = 20 * time.Millisecond

// copyBytes copies one direction of a connection. Bytes that a blocked link holds back are
// forwarded once it is unblocked, as TCP would retransmit them.
func (n *Network) copyBytes(out, in net.Conn, from, to string) {
	buffer := make([]byte, 16<<10)
	a, b := n.regionsOf(from, to)
	for {
		count, err := in.Read(buffer)
		if count > 0 {
			if !n.waitFault(func() LinkFault { return n.faultBetween(from, to) }) || n.bandwidth.Wait(n.ctx, a, b, count) != nil {
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
				_ = tcp.SetLinger(0) // forwards a reset as a reset
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

// ForwardDatagrams forwards UDP datagrams as Forward does TCP connections. It drops those
// on a blocked link and those beyond the bandwidth between regions, and ignores delays.
func (n *Network) ForwardDatagrams(host, public, listen string) error {
	at, err := net.ResolveUDPAddr("udp4", public)
	if err != nil {
		return errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return errors.Trace(err)
	}
	to, err := net.ResolveUDPAddr("udp4", listen)
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
			if !n.faultBetween(name, host).Blocked && n.bandwidth.Allow(a, b, count) {
				_, _ = conn.WriteToUDP(buffer[:count], to) // a datagram that can't be sent counts as lost
			}
		}
	})
	return nil
}
