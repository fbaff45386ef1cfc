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

// Deployment names the deployment that a process belongs to. Addresses are reused: a
// process of another deployment may listen at the former address of a host of this
// one. Therefore each connection and datagram begins with a preface that identifies
// the deployment, and receivers reject those of other deployments.
type Deployment string

// ErrForeign is the error of reads from a connection that a process of another
// deployment opened.
var ErrForeign = errors.New("the peer belongs to another deployment")

// prefaceSize is the length of the preface, in bytes.
const prefaceSize = 8

// preface returns the identifier of the deployment, a hash of its name.
func (d Deployment) preface() [prefaceSize]byte {
	var out [prefaceSize]byte
	binary.BigEndian.PutUint64(out[:], xxhash.Sum64String("linenscale deployment "+string(d)))
	return out
}

// Dialer wraps a dialer. Connections that it opens begin with the deployment's
// preface.
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

// prefacedConn sends the preface in one write with the first data, so that both share
// a packet.
type prefacedConn struct {
	net.Conn
	preface [prefaceSize]byte
	mu      sync.Mutex // held during the first write, so that it precedes all others
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
	return max(0, n-prefaceSize), err
}

// Listener wraps a listener. Its connections fail with ErrForeign at the first read if
// the peer belongs to another deployment; log receives a warning.
func (d Deployment) Listener(listener net.Listener, log *zap.Logger) net.Listener {
	return checkingListener{listener, d, log}
}

type checkingListener struct {
	net.Listener
	deployment Deployment
	log        *zap.Logger
}

// Accept implements net.Listener. It doesn't wait for the preface, so that a slow peer
// doesn't block others.
func (l checkingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn, preface: l.deployment.preface(), log: l.log}, nil
}

// checkedConn reads and checks the preface at the first read.
type checkedConn struct {
	net.Conn
	preface   [prefaceSize]byte
	log       *zap.Logger
	checkOnce sync.Once
	checkErr  error
}

// Read implements net.Conn.
func (c *checkedConn) Read(data []byte) (int, error) {
	c.checkOnce.Do(func() { c.checkErr = c.checkPreface() })
	if c.checkErr != nil {
		return 0, c.checkErr
	}
	return c.Conn.Read(data)
}

// checkPreface reads the preface and returns ErrForeign if it differs from c.preface.
func (c *checkedConn) checkPreface() error {
	var got [prefaceSize]byte
	if _, err := io.ReadFull(c.Conn, got[:]); err != nil {
		return err
	}
	if got == c.preface {
		return nil
	}
	c.log.Warn("peer belongs to another deployment; closing its connection", zap.Stringer("peer", c.RemoteAddr()), zap.Stringer("address", c.LocalAddr()))
	return errors.Trace(ErrForeign)
}
