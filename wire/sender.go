package wire

import (
	"context"
	"net/rpc"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/duty"
)

// Bounds of a Sender.
const (
	// senderQueue is how many messages wait for one peer.
	senderQueue = 1024
	// senderBatch is how many messages go in one call.
	senderBatch = 64
	// senderOpen is how many calls to one peer may be unanswered.
	senderOpen = 64
	// senderSilence is how long a peer may leave calls unanswered before the
	// connection counts as dead.
	senderSilence = 2 * time.Second
	// senderPause is the wait after a connection could not be opened, or broke
	// before the peer had answered anything.
	senderPause = 100 * time.Millisecond
)

// Sender sends messages of one type to peers, each in the order of posting,
// without promise of arrival. NewSender makes one; Run runs it. Its dialer bounds the
// opening of connections: behind a cut none ever opens, and the sooner the next is
// tried, the sooner messages flow after the cut.
type Sender[T any] struct {
	dialer Dialer
	method string
	starts chan start[T]

	mu     sync.Mutex
	queues map[string]chan T
}

// start asks Run for a duty for one more peer.
type start[T any] struct {
	address string
	queue   chan T
}

// maxPeers bounds the peers that wait for their duty to start.
const maxPeers = 1024

// NewSender makes a sender that calls method with a slice of messages.
func NewSender[T any](dialer Dialer, method string) *Sender[T] {
	return &Sender[T]{dialer: dialer, method: method, starts: make(chan start[T], maxPeers), queues: make(map[string]chan T)}
}

// Run sends until ctx ends, with one duty for each peer.
func (s *Sender[T]) Run(ctx context.Context) error {
	group := pool.New()
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case p := <-s.starts:
			group.Go(func() { s.peer(ctx, p.address, p.queue) })
		}
	}
}

// Post queues a message; it is dropped where the queue is full.
func (s *Sender[T]) Post(address string, message T) {
	select {
	case s.queue(address) <- message:
	default:
	}
}

func (s *Sender[T]) queue(address string) chan T {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.queues[address]
	if !ok {
		queue = make(chan T, senderQueue)
		s.queues[address] = queue
		s.starts <- start[T]{address, queue}
	}
	return queue
}

// peer sends what is queued for one address.
func (s *Sender[T]) peer(ctx context.Context, address string, queue <-chan T) {
	for ctx.Err() == nil {
		raw, err := s.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			drain(queue)
			duty.Pause(ctx, senderPause)
			continue
		}
		client := rpc.NewClient(bounded{raw})
		answered := s.stream(ctx, client, queue)
		client.Close()
		if !answered {
			duty.Pause(ctx, senderPause)
		}
	}
}

// stream sends until the connection fails, falls silent or ctx ends. It tells
// whether the peer has answered anything.
func (s *Sender[T]) stream(ctx context.Context, client *rpc.Client, queue <-chan T) (heard bool) {
	done := make(chan *rpc.Call, senderOpen+1)
	open := 0
	answered := time.Now()
	watch := time.NewTicker(senderSilence / 4)
	defer watch.Stop()
	for {
		var take <-chan T
		if open < senderOpen {
			take = queue
		}
		select {
		case <-ctx.Done():
			return heard
		case call := <-done:
			if call.Error != nil {
				return heard
			}
			heard = true
			open--
			answered = time.Now()
		case <-watch.C:
			if open > 0 && time.Since(answered) > senderSilence {
				return heard
			}
		case first := <-take:
			if open == 0 {
				answered = time.Now()
			}
			client.Go(s.method, batch(first, queue), new(Empty), done)
			open++
		}
	}
}

// Empty is the answer of a call that has none.
type Empty struct{}

// batch takes what else is queued.
func batch[T any](first T, queue <-chan T) []T {
	out := []T{first}
	for len(out) < senderBatch {
		select {
		case next := <-queue:
			out = append(out, next)
		default:
			return out
		}
	}
	return out
}

func drain[T any](queue <-chan T) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
