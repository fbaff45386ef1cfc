// This file defines how a gateway learns that an engine has crashed, and under which
// requests.

package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/registry"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/rollup"
)

// Doubt names an engine of which it isn't known whether it lives.
type Doubt struct {
	Incarnation string
	Address     string
}

// mostDoubts bounds the engines that wait to be looked at. Beyond it the registry tells
// of their ends, some seconds later.
const mostDoubts = 64

// Doubts gives the engines whose connections have just broken. Whoever reads them opens a
// connection to each and calls Refused where none is taken: the first sign of a crash,
// some ms after it, while the registry tells of it after 3.5 heartbeats.
func (d *Dispatcher) Doubts() <-chan Doubt { return d.doubts }

// noteBroken notes that a request's connection to the engine broke. The lock is held.
func (t *Ticket) noteBroken(now time.Time) {
	d, e := t.dispatcher, t.engine
	if !d.watch.Broke(e.Incarnation(), t.fingerprint, now) {
		return
	}
	select {
	case d.doubts <- Doubt{Incarnation: e.Incarnation(), Address: e.Address}:
	default:
		d.Log.Warn("engine not looked at: too many are in doubt", zap.String("engine", e.ID))
	}
}

// Refused notes that an engine in doubt takes no connections: its process has ended.
func (d *Dispatcher) Refused(doubt Doubt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	e, known := d.byHash[hashOf(doubt.Incarnation)]
	if (known && e.Phase != registry.Ready) || d.isLeaving(hashOf(doubt.Incarnation), now) {
		d.watch.Crashed(doubt.Incarnation) // it was about to end
		return
	}
	d.crashed(doubt.Incarnation, "it refuses connections", now)
}

// judgeDoubted looks for the engines in doubt among those that are registered. The lock
// is held.
func (d *Dispatcher) judgeDoubted(engines []registry.Engine, now time.Time) {
	doubted := d.watch.Doubted()
	if len(doubted) == 0 {
		return
	}
	phases := make(map[string]registry.Phase, len(engines))
	for _, e := range engines {
		phases[e.Incarnation()] = e.Phase
	}
	for _, incarnation := range doubted {
		switch phase, registered := phases[incarnation]; {
		case d.isLeaving(hashOf(incarnation), now) && (!registered || phase >= registry.Silent):
			d.watch.Crashed(incarnation) // it ended as it had said in its answers
		case !registered:
			d.crashed(incarnation, "it is no longer registered", now)
		case phase == registry.Silent:
			d.crashed(incarnation, "it is silent", now)
		case phase == registry.Left:
			d.watch.Crashed(incarnation) // it ended as it had said
		}
	}
}

// crashed takes over that an engine has ended. The lock is held.
func (d *Dispatcher) crashed(incarnation, sign string, now time.Time) {
	requests := d.watch.Crashed(incarnation)
	if len(requests) == 0 {
		return
	}
	d.Log.Warn("engine crashed", zap.String("engine", incarnation), zap.String("sign", sign), zap.Int("requests", len(requests)),
		zap.String("fingerprints", sayFingerprints(requests)))
	if d.Metrics != nil {
		d.Metrics.EngineCrash(len(requests))
	}
	for _, f := range requests {
		if d.suspects.Crashed(f, incarnation, now) {
			d.logRefused(f, "this gateway")
		}
	}
}

func (d *Dispatcher) logRefused(f quarantine.Fingerprint, by string) {
	d.Log.Warn("request kept from engines", zap.Stringer("fingerprint", f), zap.String("last_crash_seen_by", by))
}

// checkSuspect refuses a request under which engines crashed. The lock is held.
func (d *Dispatcher) checkSuspect(ask Ask, now time.Time) error {
	err := d.suspects.Check(ask.Fingerprint, now)
	var refused *quarantine.Refused
	if !errors.As(err, &refused) {
		return nil
	}
	return &request.NotRun{
		Reason: request.ReasonQuarantined, RetryAfter: refused.RetryAfter,
		Message: refused.Error() + ", " + strconv.Itoa(refused.Crashes) + " of them; fingerprint " + ask.Fingerprint.String(),
	}
}

// hearNear takes what another gateway of the region tells of crashes. The lock is held.
func (d *Dispatcher) hearNear(m rollup.Message, now time.Time) {
	for _, f := range d.suspects.HearNear(m.Report.Crashes, now) {
		d.logRefused(f, m.From)
	}
}

// hearFar takes what another region tells of crashes. The lock is held.
func (d *Dispatcher) hearFar(w rollup.FarWord, now time.Time) {
	for _, f := range d.suspects.HearFar(w.Crashes, now) {
		d.logRefused(f, w.Region)
	}
}

func sayFingerprints(requests []quarantine.Fingerprint) string {
	var names []string
	for _, f := range requests[:min(len(requests), mostLogged)] {
		names = append(names, f.String())
	}
	return strings.Join(names, ",")
}

// mostLogged bounds the requests that are named in one line.
const mostLogged = 16
