// This file defines when an engine copies what another keeps of a prompt, instead of
// reading it again.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/registry"
)

const (
	// transferSetup is what a copy takes beside the bytes on the link.
	transferSetup = 5 * time.Millisecond
	// transferCostShare is what a copy costs beside its time, as a share of the time that it
	// saves an engine of reading: memory moved between engines costs money, a sixth to a
	// third of what reading again does.
	transferCostShare = 0.2
	// minTransferTokens is how many tokens are worth a copy.
	minTransferTokens = 500
)

// transferSource is an engine that others may copy from, and the tokens of the prompt that it
// is believed to keep.
type transferSource struct {
	engine *engine
	tokens int
}

// transferSourceFor gives the engine to copy a prompt's shared parts from: of those known to keep
// them, the one that has done so last, since parts give way to others. It gives none
// where the service's engines can't copy.
func (d *Dispatcher) transferSourceFor(p *pool, prompt Prompt, holders []*engine, now time.Time) transferSource {
	if p.service.Model == nil || !p.service.Model.Copies() || prompt.sharedTokens() < minTransferTokens {
		return transferSource{}
	}
	hash := hashBlock(prompt.Affinity())
	var best transferSource
	for _, e := range holders {
		if e.Phase == registry.Silent || !d.exclusionOf(p, e, now).allowsTransfer() {
			continue
		}
		if best.engine == nil || e.cached[hash].After(best.engine.cached[hash]) {
			best = transferSource{e, min(e.cached.tokens(prompt, now), prompt.sharedTokens())}
		}
	}
	return best
}

// allowsTransfer tells whether an engine's keep may be read by others: also where it bears only
// few requests itself, but not where it wants nothing, is about to end or fails.
func (x exclusion) allowsTransfer() bool {
	return x == "" || x == excludedLimited || x == excludedCold
}

// tokensFor gives what an engine could copy from the source: 0 tokens where that is nothing.
func (s transferSource) tokensFor(to *engine, cached int) int {
	if s.engine == nil || s.engine == to || s.tokens-cached < minTransferTokens {
		return 0
	}
	return s.tokens - cached
}

// transferTime gives how long so many tokens take from one engine to another.
func transferTime(m catalog.ModelSpec, tokens int) time.Duration {
	bits := float64(tokens) * float64(m.TokenBytes) * 8
	return transferSetup + time.Duration(bits/m.LinkRate*float64(time.Second))
}
