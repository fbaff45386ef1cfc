// This file defines the directory of streams: which gateways keep a record, and how others ask
// for it.

package streams

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/internal/rendezvous"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
)

const (
	// localCopies and remoteCopies are how many gateways of the own region, and of each other
	// region where the stream may be continued, get a record. With two, it survives the loss
	// of the gateway that began the stream together with one more; the copy elsewhere serves
	// callers that resume after the loss of the region.
	localCopies  = 2
	remoteCopies = 1
	// localAsked and remoteAsked are how many gateways are asked. They are more than have
	// copies, because gateways that have come or gone since the record was sent shift the
	// ranks.
	localAsked  = 4
	remoteAsked = 2
	// findTimeout bounds a search: a round trip between distant regions, and once the time
	// after which a host with a share of a processor runs again.
	findTimeout = 260 * time.Millisecond
	// repeatInterval is when a question without an answer is sent again: datagrams get lost.
	repeatInterval = 80 * time.Millisecond
	// resumeSlack is how long after its request's deadline a stream's record is still kept.
	resumeSlack = 5 * time.Second
)

// Deps are the dependencies of a Directory.
type Deps struct {
	Self  roster.Host
	Hosts func() []roster.Host // the gateways of all regions
	// Send sends a message to the addresses of some gateways. It may be lost.
	Send  func(m Message, addresses []string) error
	Clock func() time.Time
	Log   *zap.Logger
}

// Directory knows where streams began. Each record is kept by the gateway that answered the
// caller and by a few others, chosen by rendezvous hashing of the stream's key, so that any
// gateway knows whom to ask. Nothing is sent when a stream ends: records expire. It is safe
// for concurrent use. New makes one.
type Directory struct {
	Deps
	table table

	mu       sync.Mutex
	searches map[uint64]*search // by the number of their question
}

// New returns a directory without records.
func New(deps Deps) *Directory {
	return &Directory{Deps: deps, table: table{records: make(map[Key]kept)}, searches: make(map[uint64]*search)}
}

// Finding is the result of a search: Found, NotFound, Contested or Unanswered.
type Finding interface{ finding() }

// Found means that a gateway has a record of the stream.
type Found struct{ Origin Origin }

// NotFound means that all gateways that should have a record have answered, and none has one.
type NotFound struct{}

// Contested means that records contradict each other: a caller has used one ID for two streams,
// or two streams have the same content.
type Contested struct{}

// Unanswered means that no gateway that answered has a record, and some didn't answer.
type Unanswered struct{}

func (Found) finding()      {}
func (NotFound) finding()   {}
func (Contested) finding()  {}
func (Unanswered) finding() {}

// Key names a stream. ByRequest and ByContent make them.
type Key string

// ByRequest returns the key of the stream that began with the request with that ID.
func ByRequest(id string) Key { return Key("r" + id) }

// ByContent returns the key of a stream whose request has that fingerprint. Callers that don't
// name the request that began the stream send the same content again.
func ByContent(fingerprint string) Key { return Key("c" + fingerprint) }

// Begin records where a stream begins. It must be called before the stream's first event is
// sent to the caller. timeout is how long the caller waits for the whole stream; the record is
// kept only in regions that permitted accepts.
func (d *Directory) Begin(stream Key, origin Origin, timeout time.Duration, permitted func(region string) bool) {
	r := Record{Stream: stream, Service: origin.Service, Version: origin.Version, KeepForMS: (timeout + resumeSlack).Milliseconds()}
	if permitted(d.Self.Region) && !d.table.put(r, d.Clock()) {
		d.Log.Debug("stream not recorded: no room, or its key is too long", zap.String("stream", string(stream)))
		return
	}
	d.send(Message{Records: []Record{r}}, d.keepers(stream, permitted))
}

// Find searches for the origin of a stream. permitted says where the request that resumes it
// may run.
func (d *Directory) Find(ctx context.Context, stream Key, permitted func(region string) bool) Finding {
	if k, known := d.table.get(stream, d.Clock()); known {
		return k.finding()
	}
	asked := d.askable(stream, permitted)
	if len(asked) == 0 || len(stream) > maxTextBytes {
		return NotFound{}
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	s, number := d.open(asked)
	defer d.close(number)
	repeat := time.NewTicker(repeatInterval)
	defer repeat.Stop()
	for {
		d.send(Message{Questions: []Question{{Number: number, Stream: stream, ReplyTo: d.Self.Peer}}}, s.unanswered())
		select {
		case finding := <-s.result:
			return finding
		case <-ctx.Done():
			return Unanswered{}
		case <-repeat.C:
		}
	}
}

// Receive applies a message of another gateway.
func (d *Directory) Receive(m Message) {
	now := d.Clock()
	for _, r := range m.Records {
		d.table.put(r, now)
	}
	for _, q := range m.Questions {
		answer := Answer{Number: q.Number, From: d.Self.Name}
		if k, known := d.table.get(q.Stream, now); known {
			answer.Known, answer.Contested = !k.contested, k.contested
			answer.Service, answer.Version = k.origin.Service, k.origin.Version
		}
		d.send(Message{Answers: []Answer{answer}}, []string{q.ReplyTo})
	}
	for _, a := range m.Answers {
		d.mu.Lock()
		s := d.searches[a.Number]
		d.mu.Unlock()
		if s != nil {
			s.apply(a)
		}
	}
}

// HandOff sends all records to the gateways of the region that keep them once this one has
// stopped.
func (d *Directory) HandOff() {
	here := func(region string) bool { return region == d.Self.Region }
	byAddress := make(map[string][]Record)
	for _, r := range d.table.all(d.Clock()) {
		for _, address := range d.keepers(r.Stream, here) {
			byAddress[address] = append(byAddress[address], r)
		}
	}
	for address, records := range byAddress {
		for batch := range slices.Chunk(records, maxRecordsPerMessage) {
			d.send(Message{Records: batch}, []string{address})
		}
	}
}

// Expire removes the records that callers can no longer need. The owner calls it about every
// second.
func (d *Directory) Expire() { d.table.expire(d.Clock()) }

// Len returns the number of records that this gateway keeps.
func (d *Directory) Len() int {
	d.table.mu.Lock()
	defer d.table.mu.Unlock()
	return len(d.table.records)
}

// keepers returns the addresses of the other gateways that keep a stream's record.
func (d *Directory) keepers(stream Key, permitted func(region string) bool) []string {
	var out []string
	for _, h := range d.ranked(stream, permitted, localCopies, remoteCopies, func(h roster.Host) bool { return !h.Stopping }) {
		out = append(out, h.Peer)
	}
	return out
}

// askable returns the gateways to ask for a stream's record. Those that are stopping still
// answer.
func (d *Directory) askable(stream Key, permitted func(region string) bool) []roster.Host {
	return d.ranked(stream, permitted, localAsked, remoteAsked, func(roster.Host) bool { return true })
}

// ranked returns the gateways that rank highest for a stream: so many of the own region and of
// each other one.
func (d *Directory) ranked(stream Key, permitted func(region string) bool, local, remote int, accepts func(roster.Host) bool) []roster.Host {
	type candidate struct {
		host roster.Host
		rank uint64
	}
	key := xxhash.Sum64String(string(stream))
	regions := make(map[string][]candidate)
	for _, h := range d.Hosts() {
		if h.Name == d.Self.Name || h.Peer == "" || !permitted(h.Region) || !accepts(h) {
			continue
		}
		size := remote
		if h.Region == d.Self.Region {
			size = local
		}
		best, c := regions[h.Region], candidate{h, rendezvous.Rank(key, xxhash.Sum64String(h.Name))}
		if len(best) == size && c.rank <= best[size-1].rank {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, func(a, b candidate) int { return cmp.Compare(b.rank, a.rank) })
		best = slices.Insert(best, at, c)
		regions[h.Region] = best[:min(len(best), size)]
	}
	var out []roster.Host
	for _, best := range regions {
		for _, c := range best {
			out = append(out, c.host)
		}
	}
	return out
}

func (d *Directory) send(m Message, addresses []string) {
	if len(addresses) == 0 {
		return
	}
	if err := d.Send(m, addresses); err != nil {
		d.Log.Debug("stream message not sent", telemetry.ErrorField(err))
	}
}

// open registers a search under a number that no recent one had.
func (d *Directory) open(asked []roster.Host) (*search, uint64) {
	s := newSearch(asked)
	number := rand.Uint64()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.searches[number] = s
	return s, number
}

func (d *Directory) close(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.searches, number)
}
