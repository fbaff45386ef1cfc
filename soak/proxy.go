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

// Harm is what is done to the way between two hosts, or to one.
type Harm struct {
	Delay time.Duration
	Lost  bool // nothing arrives, and nobody is told
}

// Network forwards what is sent to hosts' known addresses to where they listen,
// and does harm on the way. NewNetwork makes one.
type Network struct {
	ctx   context.Context // ends all forwarding
	group *conc.WaitGroup // takes new goroutines from those that it runs, also while it is waited for
	ways  *width.Ways     // between regions

	mu    sync.Mutex
	sites map[string]string // regions of hosts
	hosts map[string]string // names by the IP number that a host connects from
	harm  map[[2]string]Harm
	open  map[net.Conn][2]string
}

// outside is the name of everybody who is no host: callers, operators, engines.
const outside = "outside"

// NewNetwork makes a network without hosts, and with that width between regions; its forwarding
// ends with ctx.
func NewNetwork(ctx context.Context, group *conc.WaitGroup, ways *width.Ways) *Network {
	return &Network{ctx: ctx, group: group, ways: ways, sites: make(map[string]string), hosts: make(map[string]string), harm: make(map[[2]string]Harm), open: make(map[net.Conn][2]string)}
}

// AddHost names the host of a region that connects from an IP number.
func (n *Network) AddHost(name, region, ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[ip], n.sites[name] = name, region
}

// regionsOf gives the regions of two hosts. Whoever is no host stands beside the other one.
func (n *Network) regionsOf(from, to string) (a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, known := n.sites[from]
	if !known {
		a = n.sites[to]
	}
	if b, known = n.sites[to]; !known {
		b = a
	}
	return a, b
}

// Set does harm to what goes from one host to another. The zero Harm ends it.
func (n *Network) Set(from, to string, h Harm) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if h == (Harm{}) {
		delete(n.harm, [2]string{from, to})
		return
	}
	n.harm[[2]string{from, to}] = h
}

// Heal ends all harm.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.harm)
}

// Reset resets every open connection of a host.
func (n *Network) Reset(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn, ends := range n.open {
		if ends[0] == host || ends[1] == host {
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a reset, and no orderly end
			}
			conn.Close()
			delete(n.open, conn)
		}
	}
}

func (n *Network) between(from, to string) Harm {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.harm[[2]string{from, to}]
}

func (n *Network) nameOf(address net.Addr) string {
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
			n.group.Go(func() { n.connect(conn, n.nameOf(conn.RemoteAddr()), host, listens) })
		}
	})
	return nil
}

// connect forwards one connection.
func (n *Network) connect(in net.Conn, from, to, listens string) {
	defer in.Close()
	if !n.wait(func() Harm { return n.both(from, to) }) {
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
	n.keep(in, from, to)
	n.keep(out, from, to)
	defer n.drop(in, out)
	group := pool.New()
	group.Go(func() { n.copy(out, in, from, to) })
	group.Go(func() { n.copy(in, out, to, from) })
	group.Wait()
}

// both gives the harm to a connection that is being opened, which needs both
// ways.
func (n *Network) both(from, to string) Harm {
	a, b := n.between(from, to), n.between(to, from)
	return Harm{Delay: a.Delay + b.Delay, Lost: a.Lost || b.Lost}
}

// wait waits for as long as bytes are held up; false if all forwarding ended.
func (n *Network) wait(harm func() Harm) bool {
	if delay := harm().Delay; delay > 0 {
		time.Sleep(delay)
	}
	for harm().Lost {
		select {
		case <-n.ctx.Done():
			return false
		case <-time.After(lookEvery):
		}
	}
	return n.ctx.Err() == nil
}

// lookEvery is how often a cut way is looked at.
const lookEvery = 20 * time.Millisecond

// copy passes bytes on, one way. TCP keeps what a cut holds up.
func (n *Network) copy(out, in net.Conn, from, to string) {
	buffer := make([]byte, 16<<10)
	a, b := n.regionsOf(from, to)
	for {
		count, err := in.Read(buffer)
		if count > 0 {
			if !n.wait(func() Harm { return n.between(from, to) }) || n.ways.Pass(n.ctx, a, b, count) != nil {
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

func (n *Network) keep(conn net.Conn, from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[conn] = [2]string{from, to}
}

func (n *Network) drop(conns ...net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range conns {
		delete(n.open, conn)
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
			name := n.nameOf(from)
			a, b := n.regionsOf(name, host)
			if !n.between(name, host).Lost && n.ways.Takes(a, b, count) {
				_, _ = conn.WriteToUDP(buffer[:count], to) // as good as lost
			}
		}
	})
	return nil
}
