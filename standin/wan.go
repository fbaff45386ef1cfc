// This file defines the stand-in for the network between regions. It forwards connections
// to a host's wide-area address with a delay, and can partition a region.

package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/width"
)

// Link forwards one wide-area address to the host that it belongs to.
type Link struct {
	Listen string // the wide-area address
	Target string // the host's own address
	Region string // region of the host
}

// WAN forwards connections between regions. NewWAN makes one. It is safe for concurrent
// use.
type WAN struct {
	delay     time.Duration
	bandwidth *width.Links
	links     []Link
	regionOf  func(ip string) string // region of the IP address that a connection comes from

	mu          sync.Mutex
	partitioned map[string]bool
}

// NewWAN returns a network with a one-way delay and with a limit on the bandwidth between
// two regions.
func NewWAN(delay time.Duration, bandwidth *width.Links, links []Link, regionOf func(ip string) string) *WAN {
	return &WAN{delay: delay, bandwidth: bandwidth, links: links, regionOf: regionOf, partitioned: make(map[string]bool)}
}

// SetPartitioned partitions a region from the others, or ends the partition. Meanwhile,
// bytes on open connections are held back and nothing is reset, as in a network that
// silently drops every packet.
func (n *WAN) SetPartitioned(region string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[region] = cut
}

func (n *WAN) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.partitioned[a] || n.partitioned[b])
}

// Run listens on the wide-area address of every link until ctx ends. It returns an error
// if one can't be listened on.
func (n *WAN) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	for _, link := range n.links {
		listener, err := net.Listen("tcp", link.Listen)
		if err != nil {
			return errors.Annotate(err, "listen on wide-area link")
		}
		group.Go(func(ctx context.Context) error {
			stop := context.AfterFunc(ctx, func() { listener.Close() })
			defer stop()
			n.accept(ctx, listener, link)
			return nil
		})
	}
	return group.Wait()
}

func (n *WAN) accept(ctx context.Context, listener net.Listener, link Link) {
	conns := pool.New()
	defer conns.Wait()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		conns.Go(func() { n.forward(ctx, conn, link) })
	}
}

// forward forwards one connection, each direction with its own delay.
func (n *WAN) forward(ctx context.Context, conn net.Conn, link Link) {
	defer conn.Close()
	ip, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
	from := n.regionOf(ip)
	if !n.waitPartition(ctx, from, link.Region) {
		return
	}
	target, err := net.DialTimeout("tcp", link.Target, time.Second)
	if err != nil {
		return
	}
	defer target.Close()
	stop := context.AfterFunc(ctx, func() {
		conn.Close()
		target.Close()
	})
	defer stop()
	both := pool.New()
	both.Go(func() { n.copyDelayed(ctx, conn, target, from, link.Region) })
	both.Go(func() { n.copyDelayed(ctx, target, conn, from, link.Region) })
	both.Wait()
}

type chunk struct {
	data []byte
	due  time.Time
}

// maxQueuedChunks bounds the chunks in flight in one direction of a connection.
const maxQueuedChunks = 1024

func (n *WAN) copyDelayed(ctx context.Context, from, to net.Conn, a, b string) {
	chunks := make(chan chunk, maxQueuedChunks)
	both := pool.New()
	both.Go(func() {
		defer close(chunks)
		for {
			data := make([]byte, 16<<10)
			got, err := from.Read(data)
			if got > 0 {
				if n.bandwidth.Wait(ctx, a, b, got) != nil {
					return
				}
				chunks <- chunk{data[:got], time.Now().Add(n.delay)}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					to.Close()
				}
				return
			}
		}
	})
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if !n.waitPartition(ctx, a, b) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			from.Close()
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	for range chunks { // lets the reader finish if it blocks on a full queue
	}
	both.Wait()
}

// partitionPollInterval is how often a blocked connection checks whether its partition
// has ended.
const partitionPollInterval = 5 * time.Millisecond

// waitPartition waits while the regions are partitioned from each other; false if ctx has
// ended.
func (n *WAN) waitPartition(ctx context.Context, a, b string) bool {
	for n.isPartitioned(a, b) {
		if !sleep(ctx, partitionPollInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// ServeHTTP starts or ends a partition: POST /cut?region=…&cut=true|false.
func (n *WAN) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cut, err := strconv.ParseBool(r.URL.Query().Get("cut"))
	if err != nil {
		http.Error(w, "cut must be true or false", http.StatusBadRequest)
		return
	}
	n.SetPartitioned(r.URL.Query().Get("region"), cut)
	w.WriteHeader(http.StatusNoContent)
}
