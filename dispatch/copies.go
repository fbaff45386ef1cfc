// This file defines when an engine copies what another keeps of a prompt, instead of
// reading it again.

package dispatch

import (
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/registry"
)

const (
	// copySetup is what a copy takes beside the bytes on the link.
	copySetup = 5 * time.Millisecond
	// copyShare is what a copy costs beside its time, as a share of the time that it
	// saves an engine of reading: memory moved between engines costs money, a sixth to a
	// third of what reading again does.
	copyShare = 0.2
	// leastCopied is how many tokens are worth a copy.
	leastCopied = 500
)

// source is an engine that others may copy from, and the tokens of the prompt that it
// is believed to keep.
type source struct {
	engine *engine
	tokens int
}

// sourceOf gives the engine to copy a prompt's shared parts from: of those known to keep
// them, the one that has done so last, since parts give way to others. It gives none
// where the service's engines can't copy.
func (d *Dispatcher) sourceOf(p *pool, prompt Prompt, keepers []*engine, now time.Time) source {
	if p.service.Model == nil || !p.service.Model.Copies() || prompt.sharedTokens() < leastCopied {
		return source{}
	}
	hash := hashPart(prompt.Affinity())
	var best source
	for _, e := range keepers {
		if e.Phase == registry.Silent || !d.bar(p, e, now).allowsCopies() {
			continue
		}
		if best.engine == nil || e.kept[hash].After(best.engine.kept[hash]) {
			best = source{e, min(e.kept.tokens(prompt, now), prompt.sharedTokens())}
		}
	}
	return best
}

// allowsCopies tells whether an engine's keep may be read by others: also where it bears only
// few requests itself, but not where it wants nothing, is about to end or fails.
func (w why) allowsCopies() bool {
	return w == "" || w == whyLimited || w == whyCold
}

// offer gives what an engine could copy from the source: 0 tokens where that is nothing.
func (s source) offer(to *engine, kept int) int {
	if s.engine == nil || s.engine == to || s.tokens-kept < leastCopied {
		return 0
	}
	return s.tokens - kept
}

// copyTime gives how long so many tokens take from one engine to another.
func copyTime(m catalog.ModelSpec, tokens int) time.Duration {
	bits := float64(tokens) * float64(m.TokenBytes) * 8
	return copySetup + time.Duration(bits/m.LinkRate*float64(time.Second))
}
