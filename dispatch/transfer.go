// This file defines when an engine transfers cached prompt blocks from another one
// instead of reading them itself.

package dispatch

import (
	"slices"
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/registry"
)

const (
	// transferSetup is the time that a transfer takes in addition to sending the bytes.
	transferSetup = 5 * time.Millisecond
	// transferCostShare is the cost of a transfer in addition to its time, as a share of
	// the read time that it saves: moving memory between engines costs a sixth to a third
	// of the money that reading again does.
	transferCostShare = 0.2
	// minTransferTokens is the smallest number of tokens worth a transfer.
	minTransferTokens = 500
)

// transferSource is an engine to transfer cached blocks from, and how many tokens of the
// prompt it has probably cached.
type transferSource struct {
	engine *engine
	tokens int
}

// transferSources holds the engine to transfer from for each software version: what one has
// made of a prompt is not for another.
type transferSources []transferSource

// forEngine returns the source for an engine; empty if there is none.
func (s transferSources) forEngine(e *engine) transferSource {
	for _, source := range s {
		if source.engine.Version == e.Version {
			return source
		}
	}
	return transferSource{}
}

// transferSourcesFor returns the engines to transfer a prompt's shared blocks from: of the
// holders of each version, the one to which they were sent last, since cached blocks are
// evicted over time. The result is empty if no holder can serve the transfer, the service's
// engines can't transfer, or the blocks are too small to be worth it.
func (d *Dispatcher) transferSourcesFor(p *pool, prompt Prompt, holders []*engine, now time.Time) transferSources {
	if p.service.Model == nil || !p.service.Model.CanTransferCache() || prompt.sharedTokens() < minTransferTokens {
		return nil
	}
	hash := hashBlock(prompt.AffinityKey())
	var sources transferSources
	for _, e := range holders {
		if e.Phase == registry.Unresponsive || !d.exclusionOf(p, e, now).allowsTransfer() {
			continue
		}
		found := transferSource{e, min(e.cached.tokens(prompt, now), prompt.sharedTokens())}
		at := slices.IndexFunc(sources, func(s transferSource) bool { return s.engine.Version == e.Version })
		switch {
		case at < 0:
			sources = append(sources, found)
		case e.cached[hash].After(sources[at].engine.cached[hash]):
			sources[at] = found
		}
	}
	return sources
}

// allowsTransfer reports whether an engine with this exclusion may serve transfers. A
// cold or rate-limited one may; one that is backing off, draining or failing may not.
func (x exclusion) allowsTransfer() bool {
	return x == "" || x == excludedLimited || x == excludedCold
}

// tokensFor returns how many tokens an engine could transfer from the source in addition
// to those that it has cached; 0 if too few to be worth it.
func (s transferSource) tokensFor(to *engine, cached int) int {
	if s.engine == nil || s.engine == to || s.tokens-cached < minTransferTokens {
		return 0
	}
	return s.tokens - cached
}

// transferTime returns the time to transfer so many tokens between two engines.
func transferTime(m catalog.ModelSpec, tokens int) time.Duration {
	bits := float64(tokens) * float64(m.TokenBytes) * 8
	return transferSetup + time.Duration(bits/m.LinkRate*float64(time.Second))
}
