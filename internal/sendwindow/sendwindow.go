// Package sendwindow distinguishes peers that leave data unread from peers that are gone.
//
// With TCP_USER_TIMEOUT, Linux ends a connection once sent data has stayed unacknowledged for that
// long. It does so while the peer's receive window is closed too, even if the peer answers each
// probe of the window. RFC 9293, section 3.8.6.1, wants such a connection to stay open: its peer is
// alive, and reads later.
//
// A Watcher therefore decides itself about connections with pending data. It ends those from which
// no segment arrived for Timeout, data included, although the kernel has sent probes or retransmits;
// meanwhile the kernel's timeout is long, so that a process that doesn't run loses no connection.
// By default probes become rare, so that a peer that vanishes while its window is closed would be
// found late. Where the kernel can (TCP_RTO_MAX_MS), it probes each second. Elsewhere it sends the
// next probe when the timeout that it knows runs out, so the timeout of a closed window is extended
// in short steps; a process that doesn't run for longer than a step then loses such connections.
//
// The kernel reports the end of a connection by a reset or a timeout once. If a Write receives that
// error, a Read meets the end of the stream, as if the peer had closed it. A Conn reports the error
// to both.
package sendwindow

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/linenscale/linenscale/internal/duty"
)

// interval is how often a running Watcher observes connections.
const interval = 150 * time.Millisecond

// Deps holds the dependencies of a Watcher.
type Deps struct {
	Log   *zap.Logger
	Clock func() time.Time
	// Delay returns how late this process's tasks run at the moment.
	Delay func() time.Duration
	// LimitProbes limits the time between two probes of a socket, and reports whether the kernel
	// can; usually LimitProbes of this package.
	LimitProbes func(raw syscall.RawConn) bool
}

// Watcher observes connections whose peers may leave data unread. New makes one; it is safe
// for concurrent use.
type Watcher struct {
	Deps
	mu    sync.Mutex
	added []*Conn
	conns []*Conn // used by observe only
}

// New returns a watcher without connections.
func New(deps Deps) *Watcher { return &Watcher{Deps: deps} }

// Run observes connections until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	duty.Every(ctx, interval, w.observe)
	return nil
}

// Watch returns conn, observed while it has pending data. A connection that isn't a socket is
// returned as it is.
func (w *Watcher) Watch(conn net.Conn) net.Conn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return conn
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return conn
	}
	c := &Conn{Conn: conn, watcher: w, raw: raw, tracker: NewTracker(w.LimitProbes(raw))}
	c.returned.L = &c.mu
	return c
}

// tcpRTOMaxMs is TCP_RTO_MAX_MS of Linux 6.15: the longest time between two retransmits or probes.
const tcpRTOMaxMs = 44

// LimitProbes limits the time between two probes of a closed window, and reports whether the kernel
// can.
func LimitProbes(raw syscall.RawConn) bool {
	return setMillis(raw, tcpRTOMaxMs, maxProbeInterval) == nil
}

// SetTimeout sets TCP_USER_TIMEOUT of a socket to Timeout.
func SetTimeout(raw syscall.RawConn) error { return setTimeout(raw, Timeout) }

func (w *Watcher) add(c *Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.added = append(w.added, c)
}

// observe observes each connection that may have pending data.
func (w *Watcher) observe() {
	w.mu.Lock()
	w.conns = append(w.conns, w.added...)
	clear(w.added)
	w.added = w.added[:0]
	w.mu.Unlock()
	delay := w.Delay()
	kept := w.conns[:0]
	for _, c := range w.conns {
		if c.observe(w.Clock(), delay) {
			kept = append(kept, c)
		}
	}
	clear(w.conns[len(kept):])
	w.conns = kept
}

// Conn is a connection that a Watcher observes.
type Conn struct {
	net.Conn
	watcher *Watcher
	raw     syscall.RawConn
	gone    atomic.Bool // closed because the peer had vanished

	mu       sync.Mutex
	returned sync.Cond     // a Write has returned
	watched  bool          // one of the watcher's connections
	writes   int           // calls of Write that have not returned
	failure  syscall.Errno // with which the kernel ended the connection during a Write; 0 for none
	tracker  Tracker
	reported bool // the log says that the peer leaves data unread
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(data)
	c.endWrite(err)
	return n, c.explain("write", err)
}

// beginWrite has the watcher observe the connection from before data is pending until there is none.
func (c *Conn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
	if c.watched {
		return
	}
	c.watched = true
	c.setTimeout(c.tracker.BeginWrite())
	c.watcher.add(c)
}

// endWrite notes the end of a Write. EPIPE is none of the connection's: the peer had closed it.
func (c *Conn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure = errno
	}
	c.returned.Broadcast()
}

// setTimeout sets TCP_USER_TIMEOUT unless timeout is 0. It fails only on a closed connection.
func (c *Conn) setTimeout(timeout time.Duration) {
	if timeout > 0 {
		_ = setTimeout(c.raw, timeout)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err == io.EOF && c.ended() {
		err = c.writeFailure(err)
	}
	return n, c.explain("read", err)
}

// ended reports whether the connection has ended in both directions, or was closed by this process.
func (c *Conn) ended() bool {
	info, err := readInfo(c.raw)
	return err != nil || info.State == unix.BPF_TCP_CLOSE
}

// writeFailure returns the error that a Write received from the kernel at the end of the connection,
// eof if none did. It waits for Writes, which return at once by then.
func (c *Conn) writeFailure(eof error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writes > 0 {
		c.returned.Wait()
	}
	if c.failure == 0 {
		return eof
	}
	return c.opError("read", c.failure)
}

func (c *Conn) opError(op string, errno syscall.Errno) error {
	return &net.OpError{Op: op, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(op, errno)}
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.raw, nil }

// explain returns the error that the kernel gives for a peer that vanished instead of that of
// a closed connection.
func (c *Conn) explain(op string, err error) error {
	if err == nil || !c.gone.Load() {
		return err
	}
	return c.opError(op, syscall.ETIMEDOUT)
}

// observe observes the connection and reports whether to observe it again.
func (c *Conn) observe(now time.Time, delay time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watched = false
	status, err := readStatus(c.raw)
	if err != nil {
		return false // closed
	}
	status.Writing = c.writes > 0
	decision := c.tracker.Observe(now, status, delay)
	c.setTimeout(decision.Timeout)
	c.report(status, decision)
	if decision.Gone {
		c.abort()
	}
	c.watched = decision.Pending
	return decision.Pending
}

// abort closes the connection without sending what is pending.
func (c *Conn) abort() {
	c.gone.Store(true)
	_ = c.raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptLinger(int(fd), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
	})
	_ = c.Close()
}

// report logs when the peer leaves data unread for longer than Timeout, and how that ends.
func (c *Conn) report(status Status, decision Decision) {
	stalled := c.tracker.Stalled()
	fields := []zap.Field{
		zap.Stringer("address", c.RemoteAddr()), zap.Stringer("local", c.LocalAddr()), zap.Duration("stalled", stalled),
		zap.Uint32("unacked", status.Unacked), zap.Uint32("unsent", status.Unsent), zap.Uint32("window", status.Window),
		zap.Duration("last_ack", status.LastAck), zap.Duration("last_data", status.LastData), zap.Uint32("probes", status.Probes),
	}
	switch {
	case decision.Gone:
		c.watcher.Log.Warn("peer with pending data is gone, closing the connection", fields...)
	case stalled >= Timeout && !c.reported:
		c.reported = true
		c.watcher.Log.Info("peer leaves data unread, keeping the connection", fields...)
	case stalled == 0 && c.reported:
		c.reported = false
		c.watcher.Log.Info("peer reads again", fields...)
	}
}

// readInfo reads the kernel's state of a socket.
func readInfo(raw syscall.RawConn) (*unix.TCPInfo, error) {
	var info *unix.TCPInfo
	var infoErr error
	err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return info, errors.Annotate(infoErr, "TCP_INFO")
}

// readStatus reads the status of a socket.
func readStatus(raw syscall.RawConn) (Status, error) {
	info, err := readInfo(raw)
	if err != nil {
		return Status{}, errors.Trace(err)
	}
	return Status{
		Unacked: info.Unacked, Unsent: info.Notsent_bytes, Window: info.Snd_wnd,
		Probes: uint32(info.Probes), Retransmits: info.Total_retrans,
		LastAck:  time.Duration(info.Last_ack_recv) * time.Millisecond,
		LastData: time.Duration(info.Last_data_recv) * time.Millisecond,
	}, nil
}

func setTimeout(raw syscall.RawConn, timeout time.Duration) error {
	return setMillis(raw, unix.TCP_USER_TIMEOUT, timeout)
}

// setMillis sets an option of a TCP socket to a time in milliseconds.
func setMillis(raw syscall.RawConn, option int, value time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, int(value.Milliseconds()))
	})
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(optErr)
}
