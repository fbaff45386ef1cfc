package ledger_test

import (
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/internal/simlog"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/raft"
)

func newMachine() *ledger.Machine { return ledger.New(func(ledger.State) {}) }

func mustApply(t *testing.T, m *ledger.Machine, index uint64, c ledger.Command) ledger.Result {
	t.Helper()
	data, err := ledger.EncodeCommand(c)
	must.NoError(t, err)
	result, ok := m.Apply(index, data).(ledger.Result)
	must.True(t, ok)
	return result
}

func newPutCatalog(version int64, source string) ledger.PutCatalog {
	return ledger.PutCatalog{Catalog: catalog.Catalog{Version: version}, Source: []byte(source)}
}

// TestHighestCatalogVersionWins guards against a catalog that is overwritten by a resent or
// delayed one of the same or a lower version.
func TestHighestCatalogVersionWins(t *testing.T) {
	m := newMachine()
	must.True(t, mustApply(t, m, 1, newPutCatalog(5, "five")).Changed)
	for _, resent := range []ledger.PutCatalog{newPutCatalog(5, "five"), newPutCatalog(5, "another five"), newPutCatalog(4, "four")} {
		result := mustApply(t, m, 2, resent)
		must.False(t, result.Changed)
		must.Eq(t, 5, result.Version)
	}
	must.Eq(t, "five", string(m.State().Source))
	must.Eq(t, 1, m.State().Index, must.Sprint("a command that changes nothing must not advance the index"))
	must.True(t, mustApply(t, m, 3, newPutCatalog(9, "nine")).Changed)
	must.Eq(t, "nine", string(m.State().Source))
}

// TestEvacuationIsIdempotent guards against a repeated command that changes the state or the
// order of the evacuated data centres.
func TestEvacuationIsIdempotent(t *testing.T) {
	m := newMachine()
	must.True(t, mustApply(t, m, 1, ledger.SetEvacuation{DataCentre: "b", On: true}).Changed)
	must.False(t, mustApply(t, m, 2, ledger.SetEvacuation{DataCentre: "b", On: true}).Changed)
	must.True(t, mustApply(t, m, 3, ledger.SetEvacuation{DataCentre: "a", On: true}).Changed)
	must.Eq(t, []string{"a", "b"}, m.State().Evacuated)
	must.True(t, mustApply(t, m, 4, ledger.SetEvacuation{DataCentre: "b", On: false}).Changed)
	must.False(t, mustApply(t, m, 5, ledger.SetEvacuation{DataCentre: "b", On: false}).Changed)
	must.True(t, m.State().IsEvacuated("a"))
	must.False(t, m.State().IsEvacuated("b"))
}

func TestSnapshotRestoresWholeState(t *testing.T) {
	m := newMachine()
	mustApply(t, m, 1, newPutCatalog(5, "five"))
	mustApply(t, m, 2, ledger.SetEvacuation{DataCentre: "a", On: true})
	data, err := m.Snapshot()
	must.NoError(t, err)
	restored := newMachine()
	must.NoError(t, restored.Restore(data))
	must.Eq(t, m.State(), restored.State())
}

func TestUnreadableCommandReturnsError(t *testing.T) {
	_, isError := newMachine().Apply(1, []byte("no command")).(error)
	must.True(t, isError)
}

// The operations of a history are puts of a catalog and reads of the catalog's version.
type (
	input struct {
		put     bool // false for a read
		version int64
	}
	output struct {
		answered bool // false if no reply arrived
		version  int64
	}
)

// model is the sequential specification: the catalog version of a single, unreplicated ledger.
var model = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, in, out any) (bool, any) {
		version, i, o := state.(int64), in.(input), out.(output)
		if !i.put {
			return !o.answered || o.version == version, version
		}
		return true, max(version, i.version)
	},
}

// TestHistoriesAreLinearizable puts and reads catalogs while replicas crash, lose messages and
// are partitioned. Once a put is answered, every later read must return its version or a
// higher one.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		c := simlog.New(simlog.Options{
			Seed: seed, Voters: 3, Election: time.Second, Heartbeat: 250 * time.Millisecond,
			Delay: 80 * time.Millisecond, Loss: 0.03, SnapshotEvery: 8,
			New: func() simlog.Machine { return newMachine() },
		})
		h := &history{cluster: c}
		for range 150 {
			if c.Random.Float64() < 0.1 {
				c.InjectFault()
			}
			h.putAndRead()
			c.Run(time.Duration(c.Random.IntN(400)) * time.Millisecond)
		}
		c.Recover()
		c.Run(10 * time.Second)
		h.putAndRead()
		c.Run(5 * time.Second)
		must.True(t, porcupine.CheckOperations(model, h.ops), must.Sprintf("seed %d", seed))
		must.Greater(t, 20, len(h.ops), must.Sprintf("seed %d: too few operations were answered", seed))
	}
}

// history calls a cluster and records the calls that were answered, and the unanswered puts
// that may have been applied.
type history struct {
	cluster *simlog.Cluster
	version int64
	client  int
	ops     []porcupine.Operation
}

// putAndRead puts a catalog at one replica and reads the version at another.
func (h *history) putAndRead() {
	c := h.cluster
	h.version += 1 + c.Random.Int64N(3)
	h.put(h.pickNode(), h.version)
	if c.Random.Float64() < 0.3 { // resend an older version
		h.put(h.pickNode(), max(1, h.version-1))
	}
	h.read(h.pickNode())
}

// pickNode returns the current leader with a probability of at least 0.7, otherwise a random
// replica, which may be a former leader that hasn't stepped down yet.
func (h *history) pickNode() *simlog.Node {
	c := h.cluster
	if leader := c.Leader(); leader != nil && c.Random.Float64() < 0.7 {
		return leader
	}
	return c.Nodes[c.Random.IntN(len(c.Nodes))]
}

func (h *history) put(n *simlog.Node, version int64) {
	data, err := ledger.EncodeCommand(newPutCatalog(version, ""))
	if err != nil || !n.Up || n.Paused {
		return
	}
	op := h.startOperation(input{put: true, version: version})
	h.cluster.Propose(n, data, func(_ any, err error) {
		switch {
		case err == nil:
			h.finishOperation(op, output{answered: true})
		case errors.Is(err, raft.ErrNotLeader):
			// Nothing was proposed, or another entry replaced it.
		default: // it may be applied at any later time
			op.Output, op.Return = output{}, math.MaxInt64
			h.ops = append(h.ops, op)
		}
	})
}

func (h *history) read(n *simlog.Node) {
	if !n.Up || n.Paused {
		return
	}
	op := h.startOperation(input{})
	h.cluster.Read(n, func(ok bool) {
		if ok {
			h.finishOperation(op, output{answered: true, version: n.Machine.(*ledger.Machine).State().Catalog.Version})
		}
	})
}

func (h *history) startOperation(in input) porcupine.Operation {
	h.client++
	return porcupine.Operation{ClientId: h.client, Input: in, Call: h.cluster.Now.UnixNano()}
}

func (h *history) finishOperation(op porcupine.Operation, out output) {
	op.Output, op.Return = out, h.cluster.Now.UnixNano()
	h.ops = append(h.ops, op)
}
