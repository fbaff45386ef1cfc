package wire

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"go.uber.org/zap"
)

// Deployment names the deployment that a process belongs to. Addresses are used
// again: a process of another deployment may listen where a host of this one
// did. Connections and datagrams begin with an identifier of the deployment, and
// a receiver rejects those of another.
type Deployment string

// ErrForeign says that a connection or datagram came from another deployment.
var ErrForeign = errors.New("the peer belongs to another deployment")

// prefaceBytes is the length of what a connection or datagram begins with.
const prefaceBytes = 8

// preface gives the identifier of the deployment.
func (d Deployment) preface() [prefaceBytes]byte {
	var out [prefaceBytes]byte
	binary.BigEndian.PutUint64(out[:], xxhash.Sum64String("linenscale deployment "+string(d)))
	return out
}

// Dialer gives a dialer whose connections begin with the identifier of the
// deployment.
func (d Deployment) Dialer(dialer Dialer) Dialer { return prefaceDialer{dialer, d} }

type prefaceDialer struct {
	dialer     Dialer
	deployment Deployment
}

// DialContext implements Dialer.
func (p prefaceDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &prefacedConn{Conn: conn, preface: p.deployment.preface()}, nil
}

// prefacedConn sends the preface together with the first bytes written, in one
// packet.
type prefacedConn struct {
	net.Conn
	preface [prefaceBytes]byte
	mu      sync.Mutex // held during the first write, which goes before all others
	sent    bool
}

// Write implements net.Conn.
func (c *prefacedConn) Write(data []byte) (int, error) {
	c.mu.Lock()
	if c.sent {
		c.mu.Unlock()
		return c.Conn.Write(data)
	}
	defer c.mu.Unlock()
	c.sent = true
	n, err := c.Conn.Write(append(c.preface[:], data...))
	return max(0, n-prefaceBytes), err
}

// Listener gives a listener whose connections fail with ErrForeign at the first
// read where the caller belongs to another deployment.
func (d Deployment) Listener(listener net.Listener, log *zap.Logger) net.Listener {
	return checkingListener{listener, d, log}
}

type checkingListener struct {
	net.Listener
	deployment Deployment
	log        *zap.Logger
}

// Accept implements net.Listener. It doesn't wait for the preface, so that one
// slow caller holds up no other.
func (l checkingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn, preface: l.deployment.preface(), log: l.log}, nil
}

type checkedConn struct {
	net.Conn
	preface [prefaceBytes]byte
	log     *zap.Logger
	once    sync.Once
	err     error
}

// Read implements net.Conn.
func (c *checkedConn) Read(data []byte) (int, error) {
	c.once.Do(func() { c.err = c.check() })
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(data)
}

// check reads the preface.
func (c *checkedConn) check() error {
	var got [prefaceBytes]byte
	if _, err := io.ReadFull(c.Conn, got[:]); err != nil {
		return err
	}
	if got == c.preface {
		return nil
	}
	c.log.Warn("peer belongs to another deployment; closing its connection", zap.Stringer("peer", c.RemoteAddr()), zap.Stringer("address", c.LocalAddr()))
	return errors.Trace(ErrForeign)
}
