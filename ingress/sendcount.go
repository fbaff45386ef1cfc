// This file counts the sends that another gateway makes of a request that this one handed over.

package ingress

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
)

const (
	// countTimeout bounds the wait until the gateway that handed a request over has counted a
	// send. It is a round trip between distant regions and some time for a busy gateway.
	countTimeout = time.Second
	// countTries is how often the gateway is asked within that time if the connection fails. A
	// pooled one may have ended unnoticed, which a new one has not.
	countTries = 2
)

// sendCounters holds the counts of sends of the hand-overs that are running. The zero value
// holds none. It is safe for concurrent use.
type sendCounters struct {
	mu      sync.Mutex
	last    uint64
	running map[uint64]int
}

// begin adds a hand-over and returns its number. Numbers start at a random one, so that a
// gateway which was restarted at its address doesn't count sends of hand-overs from before.
func (c *sendCounters) begin(random func() uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == nil {
		c.running = make(map[uint64]int)
		c.last = random()
	}
	c.last++
	c.running[c.last] = 0
	return c.last
}

// count raises the count of a hand-over. It reports whether the hand-over is still running.
func (c *sendCounters) count(number uint64, sends int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	counted, ok := c.running[number]
	if ok {
		c.running[number] = max(counted, sends)
	}
	return ok
}

// end removes a hand-over and returns its count. One that has ended counts none.
func (c *sendCounters) end(number uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer delete(c.running, number)
	return c.running[number]
}

// serveCount answers a gateway that asks to count a send. It reports whether r does so.
func (s *Server) serveCount(w http.ResponseWriter, r *http.Request) bool {
	number, sends, ok := request.ParseCount(r.Header)
	if !ok {
		return false
	}
	status := http.StatusGone
	if s.sendCounters.count(number, sends) {
		status = http.StatusNoContent
	}
	w.WriteHeader(status)
	return true
}

// confirmSend has the gateway that handed the request over count one more send, after this
// gateway has begun to answer: the answer's head states fewer, and may not have arrived. If it
// can't be reached or has given the hand-over up, the request must not be sent again:
// that gateway may hand it over to another one as often as it has counted less.
func (s *Server) confirmSend(x *exchange) error {
	if x.counter.Address == "" {
		return nil // an older version, which doesn't count
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), countTimeout)
	defer cancel()
	var err error
	for try := range countTries {
		err = s.requestCount(ctx, x, try > 0)
		var answered *uncounted
		if err == nil || errors.As(err, &answered) || ctx.Err() != nil {
			break
		}
	}
	return errors.Annotate(err, "count a send at the gateway that handed the request over")
}

// uncounted is the error of a count that the other gateway refused: it has given the hand-over
// up.
type uncounted struct{ status int }

// Error implements error.
func (u *uncounted) Error() string { return "status " + strconv.Itoa(u.status) }

// requestCount asks once for one more send to be counted. Counting it twice changes nothing.
func (s *Server) requestCount(ctx context.Context, x *exchange, ownConnection bool) error {
	resp, err := s.Peers.Send(ctx, relay.Call{
		Method: http.MethodPost, URL: "http://" + x.counter.Address + "/", Header: x.counter.CountHeader(x.progress.sends + 1), EchoesAttempt: true,
		OwnConnection: ownConnection,
		CheckAnswer: func(resp *http.Response) error {
			if resp.StatusCode != http.StatusNoContent {
				return &uncounted{resp.StatusCode}
			}
			return nil
		},
	})
	if err != nil {
		return err
	}
	return errors.Trace(resp.Body.Close())
}
