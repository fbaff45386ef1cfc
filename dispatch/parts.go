// This file defines how a gateway finds parts of prompts that crash engines.

package dispatch

import (
	"strconv"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/roster"
)

// brokenRun is a request whose connection to its engine broke.
type brokenRun struct {
	fingerprint quarantine.Fingerprint
	run         quarantine.Run
	brokeAt     time.Time
}

// quarantinePrompt returns the parts of the request's prompt that may crash engines: those that
// other requests have too.
func (r Request) quarantinePrompt() quarantine.Prompt {
	var ids []string
	for _, block := range r.Prompt.sharedBlocks() {
		ids = append(ids, block.ID)
	}
	return quarantine.NewPrompt(r.Service, r.Prompt.Model, ids)
}

// brokenRun describes the ticket's request for the crash detector. The lock is held.
func (t *Ticket) brokenRun(now time.Time) brokenRun {
	return brokenRun{t.fingerprint, quarantine.Run{Prompt: t.prompt, Sent: t.sentAt, Begun: t.begunAt}, now}
}

// recordBegun records that the engine has begun its answer. The lock is held.
func (t *Ticket) recordBegun(now time.Time) {
	if t.prompt.IsEmpty() {
		return
	}
	t.begunAt = now
	t.dispatcher.begunRuns = append(t.dispatcher.begunRuns, t)
}

// endPrompt records the end of the ticket for the parts of its prompt. The lock is held.
func (t *Ticket) endPrompt(outcome Outcome, now time.Time) {
	t.done = true
	t.dispatcher.parts.EndTrials(t.partTrials)
	if !t.begunAt.IsZero() && (outcome == Answered || outcome == Unconfirmed) {
		t.dispatcher.parts.RecordBegun(t.prompt, t.begunAt, now)
	}
}

// clearBegunParts records the answers that began BeginSettles ago on engines that live on. The
// lock is held.
func (d *Dispatcher) clearBegunParts(now time.Time) {
	settled := 0
	for _, t := range d.begunRuns {
		if now.Sub(t.begunAt) < quarantine.BeginSettles {
			break
		}
		settled++
		if !t.done {
			d.parts.RecordBegun(t.prompt, t.begunAt, now)
		}
	}
	if d.begunRuns = d.begunRuns[settled:]; len(d.begunRuns) == 0 {
		d.begunRuns = nil // releases the tickets before
	}
}

// checkParts rejects a request with a quarantined part in its prompt. The lock is held.
func (d *Dispatcher) checkParts(req Request, now time.Time) (trials []quarantine.Fingerprint, err error) {
	d.clearBegunParts(now)
	before := d.parts.QuarantinedCount()
	trials, err = d.parts.Check(req.quarantinePrompt(), now, d.triesPart)
	if d.parts.QuarantinedCount() > before {
		d.Log.Warn("part of prompts quarantined", zap.String("request", req.ID), zap.String("parts", req.Prompt.SharedIDs()), zap.String("last_crash_seen_by", "this gateway"))
		d.countQuarantinedParts(d.parts.QuarantinedCount() - before)
	}
	var rejection *quarantine.PartRejectedError
	if !errors.As(err, &rejection) {
		return trials, nil
	}
	return nil, &request.NotRun{
		Reason: request.ReasonQuarantined, RetryAfter: rejection.RetryAfter,
		Message: rejection.Error() + ": " + req.Prompt.Blocks[rejection.Index].ID + ", " + strconv.Itoa(rejection.Crashes) + " of them; fingerprint " + rejection.Part.String(),
	}
}

// triesPart reports whether this gateway is the one of its region that tries a part whose
// quarantine has ended. The lock is held.
func (d *Dispatcher) triesPart(part quarantine.Fingerprint) bool {
	key := part.String()
	own := Rank(key, d.Name)
	for _, h := range d.Peers() {
		if h.Role == roster.RoleGateway && h.Region == d.Region && h.Name != d.Name && !h.Stopping && Rank(key, h.Name) > own {
			return false
		}
	}
	return true
}

// logQuarantinedParts logs parts that another gateway has quarantined.
func (d *Dispatcher) logQuarantinedParts(parts []quarantine.Fingerprint, source string) {
	for _, part := range parts {
		d.Log.Warn("part of prompts quarantined", zap.Stringer("fingerprint", part), zap.String("last_crash_seen_by", source))
	}
	d.countQuarantinedParts(len(parts))
}

func (d *Dispatcher) countQuarantinedParts(n int) {
	if d.Metrics != nil {
		d.Metrics.CountQuarantinedParts(n)
	}
}
