// This file defines the probing of engines that are suspected to have crashed because a
// connection to them broke.

package ingress

import (
	"context"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/internal/duty"
)

const (
	// probeTimeout bounds the opening of one connection. The host of a process that has
	// ended refuses the connection at once. A host without power doesn't answer; the
	// registry notices that its heartbeats stop.
	probeTimeout = 250 * time.Millisecond
	// probeAttempts is the number of connections tried per suspect. A process that ends
	// closes its connections and its listening socket in any order, but within a few
	// milliseconds, so a second try finds the listener closed.
	probeAttempts = 2
	probePause    = 30 * time.Millisecond
	// maxConcurrentProbes bounds the engines that are probed at once. Engines without power
	// take half a second each, and must not delay the detection of those that have crashed.
	maxConcurrentProbes = 16
)

// ProbeSuspects probes the engines that the dispatcher suspects, until ctx ends. It reports
// to the dispatcher which of them refuse connections.
func (s *Server) ProbeSuspects(ctx context.Context) error {
	group := pool.New().WithMaxGoroutines(maxConcurrentProbes)
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case suspect := <-s.Dispatcher.SuspectEngines():
			group.Go(func() { s.probeSuspect(ctx, suspect) })
		}
	}
}

func (s *Server) probeSuspect(ctx context.Context, suspect dispatch.SuspectEngine) {
	if s.refusesConnections(ctx, suspect.Address) {
		s.Dispatcher.ConnectionRefused(suspect)
	}
}

// refusesConnections reports whether no process listens at address.
func (s *Server) refusesConnections(ctx context.Context, address string) bool {
	for range probeAttempts {
		if s.refusesConnection(ctx, address) {
			return true
		}
		duty.Pause(ctx, probePause)
	}
	return false
}

func (s *Server) refusesConnection(ctx context.Context, address string) bool {
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := s.Dialer.DialContext(probeCtx, "tcp", address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
