package once_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/simlog"
	"github.com/linenscale/linenscale/once"
)

var (
	start = time.Unix(1_700_000_000, 0)
	key   = once.Key{Service: "portal", Account: "a", Key: "k"}
)

func begin(attempt string, digest uint64, at time.Time) once.Command {
	return once.Command{Op: once.OpBegin, Key: key, Attempt: attempt, Digest: digest, At: at, Until: at.Add(10 * time.Second)}
}

func TestVerdicts(t *testing.T) {
	answer := &once.Answer{Status: 200, Body: []byte("done"), Whole: true}
	t.Run("a repeat gets the recorded answer", func(t *testing.T) {
		table := once.NewTable(10)
		must.Eq[once.Verdict](t, once.Proceed{}, table.Apply(begin("1", 7, start)))
		must.Eq[once.Verdict](t, once.InProgress{Since: start}, table.Apply(begin("2", 7, start.Add(time.Second))))
		table.Apply(once.Command{Op: once.OpFinish, Key: key, Attempt: "1", At: start, Answer: answer})
		must.Eq[once.Verdict](t, once.Recorded{Answer: *answer}, table.Apply(begin("3", 7, start.Add(time.Hour))))
		must.Eq[once.Verdict](t, once.Conflict{}, table.Apply(begin("4", 8, start.Add(time.Hour))))
	})
	t.Run("a host may resend its own OpBegin after the reply was lost", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		must.Eq[once.Verdict](t, once.Proceed{}, table.Apply(begin("1", 7, start)))
	})
	t.Run("a host that died leaves the outcome unknown", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		must.Eq[once.Verdict](t, once.OutcomeUnknown{}, table.Apply(begin("2", 7, start.Add(time.Minute))))
		must.Eq[once.Verdict](t, once.OutcomeUnknown{}, table.Apply(begin("3", 7, start.Add(time.Hour))))
	})
	t.Run("a late command of another attempt changes nothing", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		table.Apply(once.Command{Op: once.OpRelease, Key: key, Attempt: "0", At: start})
		must.Eq[once.Verdict](t, once.InProgress{Since: start}, table.Apply(begin("2", 7, start)))
	})
	t.Run("a released intent is deleted", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		table.Apply(once.Command{Op: once.OpRelease, Key: key, Attempt: "1", At: start})
		must.Eq[once.Verdict](t, once.Proceed{}, table.Apply(begin("2", 7, start)))
	})
	t.Run("no key is evicted before its retention has passed", func(t *testing.T) {
		table := once.NewTable(1)
		table.Apply(begin("1", 7, start))
		other := begin("2", 7, start)
		other.Key.Key = "other"
		must.Eq[once.Verdict](t, once.TableFull{}, table.Apply(other))
		other.At = start.Add(once.Retention + time.Second)
		must.Eq[once.Verdict](t, once.Proceed{}, table.Apply(other))
		must.Eq(t, 1, table.Len())
	})
	t.Run("a proposer's slow clock doesn't turn the table's time back", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		table.Apply(begin("x", 9, start.Add(time.Minute)))
		must.Eq[once.Verdict](t, once.OutcomeUnknown{}, table.Apply(begin("2", 7, start)))
	})
}

// machine applies JSON-encoded commands to a table, as package keyhome does.
type machine struct{ *once.Table }

func (m machine) Apply(_ uint64, data []byte) any {
	var c once.Command
	if err := json.Unmarshal(data, &c); err != nil {
		panic(err)
	}
	return m.Table.Apply(c)
}

// caller simulates a client that makes calls with a few keys on random hosts,
// repeats the calls that got no response, and counts the executions of each key.
type caller struct {
	cluster    *simlog.Cluster
	executions map[string]int

	history *[]porcupine.Operation
	client  int

	busy    bool
	key     string
	attempt int
	called  time.Time
	sentAt  time.Time
}

// callResult is the output of one operation of the history, which is a call with a
// key. The model has one write-once register for each key.
type callResult struct {
	key    string
	answer string // "" if not run, in progress, unknown, or no reply arrived
}

var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			k := op.Input.(string)
			byKey[k] = append(byKey[k], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		recorded, result := state.(string), output.(callResult)
		if result.answer == "" {
			return true, recorded
		}
		return recorded == "" || recorded == result.answer, result.answer
	},
}

func (c *caller) step() {
	r := c.cluster.Random
	if !c.busy {
		if r.Float64() < 0.05 {
			c.busy, c.key, c.called = true, fmt.Sprint("key-", r.IntN(12)), c.cluster.Now
			c.send()
		}
		return
	}
	if c.cluster.Now.Sub(c.sentAt) > 4*time.Second {
		c.end("") // the call times out; the caller may repeat it
	}
}

func (c *caller) send() {
	node := c.cluster.Nodes[c.cluster.Random.IntN(len(c.cluster.Nodes))]
	c.sentAt = c.cluster.Now
	if !node.Up || node.Paused {
		c.end("")
		return
	}
	c.attempt++
	k, attempt, attemptNumber := c.key, fmt.Sprintf("%d/%d", c.client, c.attempt), c.attempt
	c.propose(node, once.Command{Op: once.OpBegin, Key: once.Key{Key: k}, Attempt: attempt, Digest: 1, Until: c.cluster.Now.Add(5 * time.Second)}, func(v once.Verdict) {
		switch v := v.(type) {
		case once.Proceed:
			if c.attempt == attemptNumber && c.busy {
				c.run(node, k, attempt)
			}
		case once.Recorded:
			if c.attempt == attemptNumber && c.busy {
				c.end(string(v.Answer.Body))
			}
		default:
			if c.attempt == attemptNumber && c.busy {
				c.end("")
			}
		}
	})
}

// run executes the call, unless its host crashes before or after it.
func (c *caller) run(n *simlog.Node, k, attempt string) {
	if c.cluster.Random.Float64() < 0.1 {
		c.end("") // crash after recording the intent
		return
	}
	c.executions[k]++
	answer := fmt.Sprintf("%s ran by %s", k, attempt)
	if c.cluster.Random.Float64() < 0.1 {
		c.end("") // crash after the call, before recording its response
		return
	}
	c.propose(n, once.Command{Op: once.OpFinish, Key: once.Key{Key: k}, Attempt: attempt, Answer: &once.Answer{Body: []byte(answer), Whole: true}}, func(once.Verdict) {})
	c.end(answer)
}

func (c *caller) propose(n *simlog.Node, command once.Command, done func(once.Verdict)) {
	command.At = c.cluster.Now
	data, err := json.Marshal(command)
	if err != nil {
		panic(err)
	}
	c.cluster.Propose(n, data, func(result any, err error) {
		if err == nil {
			done(result.(once.Verdict))
		}
	})
}

func (c *caller) end(answer string) {
	c.busy = false
	*c.history = append(*c.history, porcupine.Operation{
		ClientId: c.client, Input: c.key, Call: c.called.UnixNano(), Output: callResult{c.key, answer}, Return: c.cluster.Now.UnixNano(),
	})
}

// TestCallsRunAtMostOnce guards against running a call twice: callers repeat their
// calls on random hosts while replicas of the keys' home region crash, pause and
// are isolated from each other.
func TestCallsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(12) {
		c := simlog.New(simlog.Options{
			Seed: seed, Voters: 3, Election: 500 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
			Delay: 10 * time.Millisecond, Loss: 0.02, SnapshotEvery: 30,
			New: func() simlog.Machine { return machine{once.NewTable(100)} },
		})
		executions := map[string]int{}
		var history []porcupine.Operation
		callers := make([]*caller, 4)
		for i := range callers {
			callers[i] = &caller{cluster: c, executions: executions, history: &history, client: i}
		}
		// Faults may leave a history without a majority for most of the time; it is continued
		// until calls have run.
		for i := 0; i < 12_000 || len(executions) <= 3 && i < 24_000; i++ {
			if i%150 == 149 {
				node := c.Nodes[c.Random.IntN(3)]
				switch c.Random.IntN(6) {
				case 0:
					if node.Up {
						c.Crash(node, c.Random.IntN(100))
					}
				case 1:
					node.Paused = !node.Paused
				case 2:
					c.Isolate(node.Index, c.Random.IntN(2) == 0, true)
				default:
					c.Isolate(node.Index, false, false)
					node.Paused = false
					if !node.Up {
						c.Start(node)
					}
				}
			}
			c.Step()
			for _, caller := range callers {
				caller.step()
			}
		}
		for k, count := range executions {
			must.LessEq(t, 1, count, must.Sprintf("seed %d: %s ran %d times", seed, k, count))
		}
		must.Greater(t, 3, len(executions))
		must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, history, time.Minute), must.Sprint("two callers received different responses for one key"))
	}
}
