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
		must.Eq[once.Verdict](t, once.Run{}, table.Apply(begin("1", 7, start)))
		must.Eq[once.Verdict](t, once.InProgress{Since: start}, table.Apply(begin("2", 7, start.Add(time.Second))))
		table.Apply(once.Command{Op: once.OpFinish, Key: key, Attempt: "1", At: start, Answer: answer})
		must.Eq[once.Verdict](t, once.Recorded{Answer: *answer}, table.Apply(begin("3", 7, start.Add(time.Hour))))
		must.Eq[once.Verdict](t, once.Conflict{}, table.Apply(begin("4", 8, start.Add(time.Hour))))
	})
	t.Run("a Begin whose answer was lost may be sent again by its own host", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		must.Eq[once.Verdict](t, once.Run{}, table.Apply(begin("1", 7, start)))
	})
	t.Run("a host that died leaves the outcome unknown", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		must.Eq[once.Verdict](t, once.Unknown{}, table.Apply(begin("2", 7, start.Add(time.Minute))))
		must.Eq[once.Verdict](t, once.Unknown{}, table.Apply(begin("3", 7, start.Add(time.Hour))))
	})
	t.Run("a late word of another attempt changes nothing", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		table.Apply(once.Command{Op: once.OpRelease, Key: key, Attempt: "0", At: start})
		must.Eq[once.Verdict](t, once.InProgress{Since: start}, table.Apply(begin("2", 7, start)))
	})
	t.Run("an intent of which nothing was sent is forgotten", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		table.Apply(once.Command{Op: once.OpRelease, Key: key, Attempt: "1", At: start})
		must.Eq[once.Verdict](t, once.Run{}, table.Apply(begin("2", 7, start)))
	})
	t.Run("no key is dropped before its time", func(t *testing.T) {
		table := once.NewTable(1)
		table.Apply(begin("1", 7, start))
		other := begin("2", 7, start)
		other.Key.Key = "other"
		must.Eq[once.Verdict](t, once.Full{}, table.Apply(other))
		other.At = start.Add(once.Retention + time.Second)
		must.Eq[once.Verdict](t, once.Run{}, table.Apply(other))
		must.Eq(t, 1, table.Len())
	})
	t.Run("a clock that is behind doesn't make time go back", func(t *testing.T) {
		table := once.NewTable(10)
		table.Apply(begin("1", 7, start))
		table.Apply(begin("x", 9, start.Add(time.Minute)))
		must.Eq[once.Verdict](t, once.Unknown{}, table.Apply(begin("2", 7, start)))
	})
}

// machine drives a table by JSON, as package keyhome does.
type machine struct{ *once.Table }

func (m machine) Apply(_ uint64, data []byte) any {
	var c once.Command
	if err := json.Unmarshal(data, &c); err != nil {
		panic(err)
	}
	return m.Table.Apply(c)
}

// caller makes calls with a few keys on any host, repeats those whose answer
// it hasn't got, and counts how often each has run.
type caller struct {
	cluster *simlog.Cluster
	ran     map[string]int

	history *[]porcupine.Operation
	client  int

	busy    bool
	key     string
	attempt int
	called  time.Time
	sentAt  time.Time
}

// The history: each operation is a call with a key; its output says what the
// caller was told. The model is one register for each key.
type told struct {
	key    string
	answer string // "" for not run, in progress, unknown or lost
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
		known, out := state.(string), output.(told)
		if out.answer == "" {
			return true, known
		}
		return known == "" || known == out.answer, out.answer
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
		c.end("") // the caller gives up, and may come again
	}
}

func (c *caller) send() {
	n := c.cluster.Nodes[c.cluster.Random.IntN(len(c.cluster.Nodes))]
	c.sentAt = c.cluster.Now
	if !n.Up || n.Paused {
		c.end("")
		return
	}
	c.attempt++
	k, attempt, sent := c.key, fmt.Sprintf("%d/%d", c.client, c.attempt), c.attempt
	c.propose(n, once.Command{Op: once.OpBegin, Key: once.Key{Key: k}, Attempt: attempt, Digest: 1, Until: c.cluster.Now.Add(5 * time.Second)}, func(v once.Verdict) {
		switch v := v.(type) {
		case once.Run:
			if c.attempt == sent && c.busy {
				c.run(n, k, attempt)
			}
		case once.Recorded:
			if c.attempt == sent && c.busy {
				c.end(string(v.Answer.Body))
			}
		default:
			if c.attempt == sent && c.busy {
				c.end("")
			}
		}
	})
}

// run makes the call itself, unless its host dies in between.
func (c *caller) run(n *simlog.Node, k, attempt string) {
	if c.cluster.Random.Float64() < 0.1 {
		c.end("") // died after the record of intent
		return
	}
	c.ran[k]++
	answer := fmt.Sprintf("%s ran by %s", k, attempt)
	if c.cluster.Random.Float64() < 0.1 {
		c.end("") // died after the call
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
		ClientId: c.client, Input: c.key, Call: c.called.UnixNano(), Output: told{c.key, answer}, Return: c.cluster.Now.UnixNano(),
	})
}

// TestCallsRunAtMostOnce lets callers repeat their calls on any host while
// replicas of the key's home crash, pause and are cut off.
func TestCallsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(12) {
		c := simlog.New(simlog.Options{
			Seed: seed, Voters: 3, Election: 500 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
			Delay: 10 * time.Millisecond, Loss: 0.02, SnapshotEvery: 30,
			New: func() simlog.Machine { return machine{once.NewTable(100)} },
		})
		ran := map[string]int{}
		var history []porcupine.Operation
		callers := make([]*caller, 4)
		for i := range callers {
			callers[i] = &caller{cluster: c, ran: ran, history: &history, client: i}
		}
		for i := range 12_000 {
			if i%150 == 149 {
				n := c.Nodes[c.Random.IntN(3)]
				switch c.Random.IntN(6) {
				case 0:
					if n.Up {
						c.Crash(n, c.Random.IntN(100))
					}
				case 1:
					n.Paused = !n.Paused
				case 2:
					c.Isolate(n.Index, c.Random.IntN(2) == 0, true)
				default:
					c.Isolate(n.Index, false, false)
					n.Paused = false
					if !n.Up {
						c.Start(n)
					}
				}
			}
			c.Step()
			for _, caller := range callers {
				caller.step()
			}
		}
		for k, times := range ran {
			must.LessEq(t, 1, times, must.Sprintf("seed %d: %s ran %d times", seed, k, times))
		}
		must.Greater(t, 3, len(ran))
		must.Eq(t, porcupine.Ok, porcupine.CheckOperationsTimeout(model, history, time.Minute), must.Sprint("two callers were told different answers"))
	}
}
