package wire

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/duty"
)

// Limits of a Sender.
const (
	// queueSize bounds the messages queued for one peer.
	queueSize = 1024
	// maxBatch bounds the messages in one call.
	maxBatch = 64
	// maxUnanswered bounds the unanswered calls to one peer.
	maxUnanswered = 64
	// answerTimeout is how long a peer may leave all calls unanswered before its
	// connection is treated as dead.
	answerTimeout = 2 * time.Second
	// retryPause is the wait before the next connection if one could not be
	// opened, or broke before the peer answered a call.
	retryPause = 100 * time.Millisecond
)

// Sender sends messages of one type to peers. Messages to one peer are sent in the
// order of Enqueue; any of them may be lost. NewSender creates one and Run runs it.
//
// The dialer must have a timeout. During a network partition no connection opens, and
// the sooner the next one is tried, the sooner messages arrive after the partition
// heals.
type Sender[T any] struct {
	dialer Dialer
	method string
	starts chan peerStart[T]

	mu     sync.Mutex
	queues map[string]chan T
}

// peerStart requests that Run start a goroutine for a new peer.
type peerStart[T any] struct {
	address string
	queue   chan T
}

// maxPendingStarts bounds the new peers whose goroutine Run has not yet started.
const maxPendingStarts = 1024

// NewSender creates a sender that calls method with a slice of messages. It opens its
// connections with dialer.
func NewSender[T any](dialer Dialer, method string) *Sender[T] {
	return &Sender[T]{dialer: dialer, method: method, starts: make(chan peerStart[T], maxPendingStarts), queues: make(map[string]chan T)}
}

// Run sends queued messages until ctx ends, with one goroutine for each peer.
func (s *Sender[T]) Run(ctx context.Context) error {
	group := pool.New()
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-s.starts:
			group.Go(func() { s.sendToPeer(ctx, p.address, p.queue) })
		}
	}
}

// Enqueue queues a message for the peer at address. It drops the message if the queue is
// full.
func (s *Sender[T]) Enqueue(address string, message T) {
	select {
	case s.queue(address) <- message:
	default:
	}
}

// queue returns the queue of an address. For a new address it creates one and
// requests a goroutine.
func (s *Sender[T]) queue(address string) chan T {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[address]
	if !ok {
		queue = make(chan T, queueSize)
		s.queues[address] = queue
		s.starts <- peerStart[T]{address, queue}
	}
	return queue
}

// sendToPeer sends the messages queued for one address until ctx ends. It drops them
// while no connection can be opened.
func (s *Sender[T]) sendToPeer(ctx context.Context, address string, queue <-chan T) {
	for ctx.Err() == nil {
		netConn, err := s.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			discardQueued(queue)
			duty.Pause(ctx, retryPause)
			continue
		}
		client := rpc.NewClient(timedConn{netConn})
		answered := s.sendUntilFailure(ctx, client, queue)
		client.Close()
		if !answered {
			duty.Pause(ctx, retryPause)
		}
	}
}

// sendUntilFailure sends queued messages until the connection fails, the peer has
// answered no call for answerTimeout, or ctx ends. It reports whether the peer
// answered any call.
func (s *Sender[T]) sendUntilFailure(ctx context.Context, client *rpc.Client, queue <-chan T) (anyAnswer bool) {
	done := make(chan *rpc.Call, maxUnanswered+1)
	unanswered := 0
	lastAnswer := time.Now()
	ticker := time.NewTicker(answerTimeout / 4)
	defer ticker.Stop()
	for {
		var source <-chan T
		if unanswered < maxUnanswered {
			source = queue
		}
		select {
		case <-ctx.Done():
			return anyAnswer
		case call := <-done:
			if call.Error != nil {
				return anyAnswer
			}
			anyAnswer = true
			unanswered--
			lastAnswer = time.Now()
		case <-ticker.C:
			if unanswered > 0 && time.Since(lastAnswer) > answerTimeout {
				return anyAnswer
			}
		case first := <-source:
			if unanswered == 0 {
				lastAnswer = time.Now()
			}
			client.Go(s.method, collectBatch(first, queue), new(Empty), done)
			unanswered++
		}
	}
}

// Empty is the reply type of calls that return no data.
type Empty struct{}

// collectBatch returns first and the messages already queued behind it, at most
// maxBatch in all.
func collectBatch[T any](first T, queue <-chan T) []T {
	out := []T{first}
	for len(out) < maxBatch {
		select {
		case next := <-queue:
			out = append(out, next)
		default:
			return out
		}
	}
	return out
}

func discardQueued[T any](queue <-chan T) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
