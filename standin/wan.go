// This file defines the stand-in for the network between regions: connections
// to a host's wide-area address are passed on after a delay, and a region can
// be cut off.

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

// Link is one address that is reached over the wide area.
type Link struct {
	Listen string // the wide-area address
	Target string // the host's own address
	Region string // of the host
}

// WAN passes connections on between regions. NewWAN makes one.
type WAN struct {
	delay     time.Duration
	bandwidth *width.Ways
	links     []Link
	regionOf  func(ip string) string // of a connection's source

	mu          sync.Mutex
	partitioned map[string]bool
}

// NewWAN makes a network with a one-way delay, and a width for all that goes between two regions.
func NewWAN(delay time.Duration, ways *width.Ways, links []Link, regionOf func(ip string) string) *WAN {
	return &WAN{delay: delay, bandwidth: ways, links: links, regionOf: regionOf, partitioned: make(map[string]bool)}
}

// Cut cuts a region off from the others, or joins it again. While it is cut
// off, bytes on open connections are held back, as by a network that drops
// every packet without a word.
func (n *WAN) Cut(region string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[region] = cut
}

func (n *WAN) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.partitioned[a] || n.partitioned[b])
}

// Run listens on every link until ctx ends.
func (n *WAN) Run(ctx context.Context) error {
	group := pool.New().WithContext(ctx).WithCancelOnError()
	for _, link := range n.links {
		listener, err := net.Listen("tcp", link.Listen)
		if err != nil {
			return errors.Annotate(err, "wide-area link")
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

// forward carries one connection, each direction with its delay.
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

// maxQueuedChunks bounds the parcels on their way in one direction.
const maxQueuedChunks = 1024

func (n *WAN) copyDelayed(ctx context.Context, from, to net.Conn, a, b string) {
	parcels := make(chan chunk, maxQueuedChunks)
	both := pool.New()
	both.Go(func() {
		defer close(parcels)
		for {
			data := make([]byte, 16<<10)
			got, err := from.Read(data)
			if got > 0 {
				if n.bandwidth.Pass(ctx, a, b, got) != nil {
					return
				}
				parcels <- chunk{data[:got], time.Now().Add(n.delay)}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) {
					to.Close()
				}
				return
			}
		}
	})
	for p := range parcels {
		time.Sleep(time.Until(p.due))
		if !n.waitPartition(ctx, a, b) {
			break
		}
		if _, err := to.Write(p.data); err != nil {
			from.Close()
			break
		}
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	for range parcels { // let the reader end
	}
	both.Wait()
}

// partitionPollInterval is how often a held connection looks whether the cut is over.
const partitionPollInterval = 5 * time.Millisecond

// waitPartition waits while the regions are cut off from each other.
func (n *WAN) waitPartition(ctx context.Context, a, b string) bool {
	for n.isPartitioned(a, b) {
		if !sleep(ctx, partitionPollInterval) {
			return false
		}
	}
	return ctx.Err() == nil
}

// ServeHTTP takes POST /cut?region=…&cut=true|false.
func (n *WAN) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cut, err := strconv.ParseBool(r.URL.Query().Get("cut"))
	if err != nil {
		http.Error(w, "cut must be true or false", http.StatusBadRequest)
		return
	}
	n.Cut(r.URL.Query().Get("region"), cut)
	w.WriteHeader(http.StatusNoContent)
}
