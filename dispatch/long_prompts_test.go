package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
)

// newLongPromptEnv returns a region whose routes limit pauses.
func newLongPromptEnv(gateways, engines int) *testEnv {
	env := newTestEnv(gateways, engines)
	c := catalog.Catalog{
		Version:  2,
		Services: []catalog.Service{{Name: "review", Model: &catalog.ModelSpec{Slots: 16, CacheTokens: 500_000, EventTokens: 6}}},
		Routes:   []catalog.Route{{Name: "stream", MaxPause: 400 * time.Millisecond, Backends: []catalog.Backend{{Service: "review", Weight: 1}}}},
	}
	env.index++
	env.state = ledger.State{Index: env.index, Catalog: c}
	for _, g := range env.gateways {
		g.ApplyState(env.state, catalog.NewTable(c))
	}
	return env
}

// streamRequest returns a request with so many prompt tokens that no other request shares.
func streamRequest(id string, tokens int) dispatch.Request {
	return dispatch.Request{ID: id, Route: "stream", Service: "review", MaxPause: 400 * time.Millisecond, Prompt: dispatch.Prompt{
		InputTokens: tokens, OutputTokens: 200, Blocks: []dispatch.Block{{ID: "own-" + id, Tokens: tokens}},
	}}
}

// sendLongPrompts lets every gateway send so many prompts of 40,000 tokens a second, and
// exchange reports meanwhile.
func (env *testEnv) sendLongPrompts(t *testing.T, perSecond int, duration time.Duration) {
	t.Helper()
	const step = 100 * time.Millisecond
	for sent, elapsed := 0, time.Duration(0); elapsed < duration; elapsed += step {
		for ; time.Duration(sent)*time.Second < time.Duration(perSecond)*(elapsed+step); sent++ {
			for i, g := range env.gateways {
				acquire(t, g, streamRequest(fmt.Sprint(env.now.UnixNano(), i, sent), 40_000)).Done(dispatch.Abandoned)
			}
		}
		env.exchangeReports()
		env.advance(step)
	}
}

// apart returns the engines that a gateway sets apart for long prompts.
func (env *testEnv) apart(t *testing.T, g *dispatch.Dispatcher) (out []string) {
	t.Helper()
	var all []string
	for _, e := range env.engines.All() {
		if e.Service == "review" {
			all = append(all, e.ID)
		}
	}
	slices.Sort(all)
	for _, id := range all {
		req := streamRequest("probe-"+id, 1000)
		req.Tried = slices.DeleteFunc(slices.Clone(all), func(other string) bool { return other == id })
		ticket, err := g.Acquire(req)
		if err != nil {
			continue
		}
		if strings.Contains(ticket.Explanation, "apart=true") {
			out = append(out, ticket.Engine)
		}
		ticket.Done(dispatch.Abandoned)
	}
	return out
}

// TestGatewaysSetTheSameEnginesApart sends long prompts at a rising rate: all gateways set the
// same engines apart, as many as the reading needs, and none once it has ended.
func TestGatewaysSetTheSameEnginesApart(t *testing.T) {
	env := newLongPromptEnv(3, 12)
	must.SliceEmpty(t, env.apart(t, env.gateways[0]))
	env.sendLongPrompts(t, 1, 15*time.Second)
	few := env.apart(t, env.gateways[0])
	must.SliceNotEmpty(t, few)
	for _, g := range env.gateways {
		must.Eq(t, few, env.apart(t, g))
	}
	// Three gateways send 120,000 tokens a second in all, 3.3 s of reading at the estimates
	// before the first answers: seven engines for half of their time.
	must.Between(t, 5, len(few), 8)
	env.sendLongPrompts(t, 2, 15*time.Second)
	more := env.apart(t, env.gateways[0])
	must.Greater(t, len(few), len(more))
	for _, id := range few {
		must.SliceContains(t, more, id)
	}
	env.sendLongPrompts(t, 0, 40*time.Second)
	must.SliceEmpty(t, env.apart(t, env.gateways[0]))
}

// TestLongPromptsOfOthersAreForgotten stops the reports of the gateways that send all long
// prompts: the one that hears nothing more sets none apart, and serves long prompts itself.
func TestLongPromptsOfOthersAreForgotten(t *testing.T) {
	env := newLongPromptEnv(2, 6)
	silent := env.gateways
	env.gateways = silent[:1]
	env.sendLongPrompts(t, 1, 10*time.Second)
	env.gateways = silent
	env.propagateReports()
	must.Eq(t, env.apart(t, silent[0]), env.apart(t, silent[1]))
	must.SliceNotEmpty(t, env.apart(t, silent[1]))
	env.advance(5 * time.Second)
	must.SliceEmpty(t, env.apart(t, silent[1]))
	acquire(t, silent[1], streamRequest("long", 40_000)).Done(dispatch.Answered)
}

// TestLostEngineIsReplacedInTheSet removes an engine that is set apart: another takes its place,
// the others stay, and long prompts are served all the time.
func TestLostEngineIsReplacedInTheSet(t *testing.T) {
	env := newLongPromptEnv(2, 8)
	env.sendLongPrompts(t, 1, 15*time.Second)
	before := env.apart(t, env.gateways[0])
	must.SliceNotEmpty(t, before)
	known, _ := env.engines.Get(before[0])
	env.engines.MarkLeft(known.ID, known.Born)
	env.sendLongPrompts(t, 1, time.Second)
	after := env.apart(t, env.gateways[0])
	must.SliceNotContains(t, after, before[0])
	must.SliceContainsSubset(t, after, before[1:])
	must.Eq(t, after, env.apart(t, env.gateways[1]))
}

// TestIdleEnginesServeAll sets engines apart while nothing else runs: idle
// ones serve other requests too.
func TestIdleEnginesServeAll(t *testing.T) {
	env := newLongPromptEnv(1, 2)
	env.sendLongPrompts(t, 2, 10*time.Second)
	must.Len(t, 2, env.apart(t, env.gateways[0]))
	acquire(t, env.gateways[0], streamRequest("short", 500)).Done(dispatch.Answered)
	env.heartbeat(registry.Engine{ID: "i-8", Service: "review", Slots: 16})
	acquire(t, env.gateways[0], streamRequest("long", 40_000)).Done(dispatch.Answered)
}

// TestAnswersThatCannotEndAreRejected sends requests whose answers take 8 ms a token: one that
// can't end in time even if it is far shorter than its caller says is rejected at once, and one
// that may end in time runs.
func TestAnswersThatCannotEndAreRejected(t *testing.T) {
	env := newLongPromptEnv(1, 4)
	req := streamRequest("answer", 1000)
	req.Deadline = env.now.Add(2 * time.Second)
	req.Prompt.OutputTokens = 600
	acquire(t, env.gateways[0], req).Done(dispatch.Answered)
	req.Prompt.OutputTokens = 1200
	_, err := env.gateways[0].Acquire(req)
	must.Eq(t, request.ReasonOverload, requireNotRun(t, err).Reason)
	req.Deadline = time.Time{}
	acquire(t, env.gateways[0], req).Done(dispatch.Answered)
}
