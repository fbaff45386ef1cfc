package control_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/simlog"
)

// seeds returns the number of seeds that a history test runs: few in CI, more under
// "make soak".
func seeds(t *testing.T) uint64 {
	t.Helper()
	if text := os.Getenv("LINENSCALE_SEEDS"); text != "" {
		n, err := strconv.ParseUint(text, 10, 32)
		must.NoError(t, err)
		return n
	}
	return 12
}

// Operations of a history: a change based on a revision, which is accepted or stale,
// and a read of the effective revision.
type (
	input struct {
		read bool
		base uint64
		id   string
	}
	output struct {
		known    bool // false if no reply ever arrived
		status   control.Status
		revision uint64
	}
)

// model is the sequential specification: a single copy of the control log.
var model = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		revision, i, o := state.(uint64), in.(input), out.(output)
		if i.read {
			return !o.known || o.revision == revision, revision
		}
		accepted := i.base == revision
		next := revision
		if accepted {
			next++
		}
		switch {
		case !o.known:
			return true, next
		case o.status == control.StatusAccepted:
			return accepted && o.revision == next, next
		case o.status == control.StatusStale:
			return !accepted && o.revision == revision, revision
		default:
			return false, revision
		}
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprintf("%+v -> %+v", in, out) },
}

// operator sends one change or read at a time and resends it, with the same ID, until
// it gets a reply.
type operator struct {
	client       int
	cluster      *simlog.Cluster
	history      *[]porcupine.Operation
	lastRevision uint64 // in the last reply; the base of the next change

	in            input
	change        declare.Change
	calledAt      time.Time
	active        bool
	awaitingReply bool // to the latest attempt
	sentAt        time.Time
	count         int
	attempts      int
}

const replyTimeout = 3 * time.Second

func (o *operator) step() {
	c := o.cluster
	if !o.active {
		if c.Random.Float64() < 0.02 {
			o.start()
		}
		return
	}
	if o.awaitingReply && c.Now.Sub(o.sentAt) < replyTimeout {
		return
	}
	n := c.Nodes[c.Random.IntN(len(c.Nodes))]
	if !n.Up || n.Paused {
		return
	}
	o.awaitingReply, o.sentAt = true, c.Now
	o.attempts++
	attempt := o.attempts
	if o.in.read {
		c.Read(n, func(ok bool) {
			if attempt != o.attempts || !o.active {
				return
			}
			o.awaitingReply = false
			if ok {
				o.finish(output{known: true, revision: n.Machine.(*control.State).View().Config.Revision()})
			}
		})
		return
	}
	data, err := json.Marshal(control.Command{Propose: &control.Propose{Change: o.change, At: c.Now}})
	if err != nil {
		panic(err)
	}
	c.Propose(n, data, func(result any, err error) {
		if attempt != o.attempts || !o.active {
			return // a late reply to an earlier attempt
		}
		o.awaitingReply = false
		if err == nil && c.Random.Float64() > 0.1 { // lose a tenth of the replies
			out := result.(control.Outcome)
			o.finish(output{known: true, status: out.Status, revision: out.Revision})
		}
	})
}

func (o *operator) start() {
	o.active, o.awaitingReply, o.calledAt = true, false, o.cluster.Now
	o.count++
	o.in = input{read: o.cluster.Random.Float64() < 0.4, base: o.lastRevision, id: fmt.Sprintf("op%d-%d", o.client, o.count)}
	region := declare.Region{Name: o.in.id}
	o.change = declare.Change{ID: o.in.id, Base: o.lastRevision, Puts: []declare.Envelope{{Object: region}}}
}

func (o *operator) finish(out output) {
	o.active = false
	if out.known {
		o.lastRevision = out.revision
	}
	*o.history = append(*o.history, porcupine.Operation{
		ClientId: o.client, Input: o.in, Call: o.calledAt.UnixNano(), Output: out, Return: o.cluster.Now.UnixNano(),
	})
}

func newCluster(seed uint64, snapshotEvery uint64) *simlog.Cluster {
	return simlog.New(simlog.Options{
		Seed: seed, Voters: 3, Election: 1500 * time.Millisecond, Heartbeat: 250 * time.Millisecond,
		Delay: 80 * time.Millisecond, Loss: 0.02, SnapshotEvery: snapshotEvery,
		New: func() simlog.Machine { return control.NewState() },
	})
}

// TestHistoriesAreLinearizable checks the replies to concurrent operators against a
// single copy of the log, while replicas crash and lose unsynced bytes, pause, and
// are partitioned.
func TestHistoriesAreLinearizable(t *testing.T) {
	for seed := range seeds(t) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			c := newCluster(seed, 20)
			var history []porcupine.Operation
			operators := make([]*operator, 4)
			for i := range operators {
				operators[i] = &operator{client: i, cluster: c, history: &history}
			}
			for i := range 12_000 { // one simulated minute
				if i%200 == 199 {
					c.InjectFault()
				}
				if i%3000 == 2999 {
					c.Recover()
				}
				c.Step()
				for _, o := range operators {
					o.step()
				}
			}
			answered := len(history)
			for _, o := range operators {
				if o.active {
					o.finish(output{})
					history[len(history)-1].Return = 1 << 62
				}
			}
			must.Greater(t, 20, answered, must.Sprint("too few operations completed for a meaningful history"))
			result, info := porcupine.CheckOperationsVerbose(model, history, time.Minute)
			if result != porcupine.Ok {
				_ = info
				for _, op := range history {
					t.Logf("%d %d-%d %s", op.ClientId, op.Call/1e6, op.Return/1e6, model.DescribeOperation(op.Input, op.Output))
				}
			}
			must.Eq(t, porcupine.Ok, result)
		})
	}
}

// TestSameStateAfterHundredsOfChanges guards against state or outcomes lost in a
// snapshot: it restarts every replica after 500 changes, compares their revisions and
// resends the first change.
func TestSameStateAfterHundredsOfChanges(t *testing.T) {
	c := newCluster(1, 100)
	c.Run(5 * time.Second)
	first := propose(t, c, changeOf("change-0", 0))
	must.Eq(t, control.StatusAccepted, first.Status)
	for i := 1; i < 500; i++ {
		out := propose(t, c, changeOf(fmt.Sprintf("change-%d", i), uint64(i)))
		must.Eq(t, control.StatusAccepted, out.Status)
	}
	c.Run(2 * time.Second)
	for _, n := range c.Nodes {
		c.Crash(n, 0)
	}
	for _, n := range c.Nodes {
		c.Start(n)
	}
	c.Run(10 * time.Second)
	for _, n := range c.Nodes {
		must.Eq(t, 500, n.Machine.(*control.State).View().Config.Revision())
	}
	must.Eq(t, first, propose(t, c, changeOf("change-0", 0)), must.Sprint("a resent change must get its first outcome"))
	other := changeOf("change-0", 0)
	other.Author = "somebody else"
	must.Eq(t, control.StatusConflict, propose(t, c, other).Status)
}

func changeOf(id string, base uint64) declare.Change {
	return declare.Change{ID: id, Base: base, Puts: []declare.Envelope{{Object: declare.Region{Name: "region-" + id}}}}
}

// propose proposes a change to the leader and waits for the outcome. It retries while
// there is no leader.
func propose(t *testing.T, c *simlog.Cluster, change declare.Change) control.Outcome {
	t.Helper()
	data, err := json.Marshal(control.Command{Propose: &control.Propose{Change: change, At: c.Now}})
	must.NoError(t, err)
	var out control.Outcome
	done := false
	for range 40 {
		if leader := c.Leader(); leader != nil {
			c.Propose(leader, data, func(result any, err error) {
				if err == nil {
					out, done = result.(control.Outcome), true
				}
			})
		}
		for range 200 {
			if done {
				return out
			}
			c.Step()
		}
	}
	t.Fatal("the change has no outcome after 40 attempts")
	return out
}
