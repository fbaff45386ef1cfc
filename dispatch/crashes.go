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

// maxSuspectEngines bounds the engines that wait to be looked at. Beyond it the registry tells
// of their ends, some seconds later.
const maxSuspectEngines = 64

// Doubts gives the engines whose connections have just broken. Whoever reads them opens a
// connection to each and calls Refused where none is taken: the first sign of a crash,
// some ms after it, while the registry tells of it after 3.5 heartbeats.
func (d *Dispatcher) Doubts() <-chan Doubt { return d.suspectEngines }

// recordBroken notes that a request's connection to the engine broke. The lock is held.
func (t *Ticket) recordBroken(now time.Time) {
	d, e := t.dispatcher, t.engine
	if !d.crashDetector.Broke(e.Incarnation(), t.fingerprint, now) {
		return
	}
	select {
	case d.suspectEngines <- Doubt{Incarnation: e.Incarnation(), Address: e.Address}:
	default:
		d.Log.Warn("engine not looked at: too many are in doubt", zap.String("engine", e.ID))
	}
}

// Refused notes that an engine in doubt takes no connections: its process has ended.
func (d *Dispatcher) Refused(suspect Doubt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	e, known := d.enginesByHash[hashOf(suspect.Incarnation)]
	if (known && e.Phase != registry.Ready) || d.isDraining(hashOf(suspect.Incarnation), now) {
		d.crashDetector.Crashed(suspect.Incarnation) // it was about to end
		return
	}
	d.engineCrashed(suspect.Incarnation, "it refuses connections", now)
}

// resolveSuspects looks for the engines in doubt among those that are registered. The lock
// is held.
func (d *Dispatcher) resolveSuspects(engines []registry.Engine, now time.Time) {
	suspects := d.crashDetector.Doubted()
	if len(suspects) == 0 {
		return
	}
	phases := make(map[string]registry.Phase, len(engines))
	for _, e := range engines {
		phases[e.Incarnation()] = e.Phase
	}
	for _, incarnation := range suspects {
		switch phase, registered := phases[incarnation]; {
		case d.isDraining(hashOf(incarnation), now) && (!registered || phase >= registry.Silent):
			d.crashDetector.Crashed(incarnation) // it ended as it had said in its answers
		case !registered:
			d.engineCrashed(incarnation, "it is no longer registered", now)
		case phase == registry.Silent:
			d.engineCrashed(incarnation, "it is silent", now)
		case phase == registry.Left:
			d.crashDetector.Crashed(incarnation) // it ended as it had said
		}
	}
}

// engineCrashed takes over that an engine has ended. The lock is held.
func (d *Dispatcher) engineCrashed(incarnation, evidence string, now time.Time) {
	requests := d.crashDetector.Crashed(incarnation)
	if len(requests) == 0 {
		return
	}
	d.Log.Warn("engine crashed", zap.String("engine", incarnation), zap.String("sign", evidence), zap.Int("requests", len(requests)),
		zap.String("fingerprints", formatFingerprints(requests)))
	if d.Metrics != nil {
		d.Metrics.EngineCrash(len(requests))
	}
	for _, f := range requests {
		if d.quarantine.Crashed(f, incarnation, now) {
			d.logQuarantined(f, "this gateway")
		}
	}
}

func (d *Dispatcher) logQuarantined(f quarantine.Fingerprint, source string) {
	d.Log.Warn("request kept from engines", zap.Stringer("fingerprint", f), zap.String("last_crash_seen_by", source))
}

// checkQuarantine refuses a request under which engines crashed. The lock is held.
func (d *Dispatcher) checkQuarantine(req Ask, now time.Time) error {
	err := d.quarantine.Check(req.Fingerprint, now)
	var refused *quarantine.Refused
	if !errors.As(err, &refused) {
		return nil
	}
	return &request.NotRun{
		Reason: request.ReasonQuarantined, RetryAfter: refused.RetryAfter,
		Message: refused.Error() + ", " + strconv.Itoa(refused.Crashes) + " of them; fingerprint " + req.Fingerprint.String(),
	}
}

// mergeLocalCrashes takes what another gateway of the region tells of crashes. The lock is held.
func (d *Dispatcher) mergeLocalCrashes(m rollup.Message, now time.Time) {
	for _, f := range d.quarantine.HearNear(m.Report.Crashes, now) {
		d.logQuarantined(f, m.From)
	}
}

// mergeRemoteCrashes takes what another region tells of crashes. The lock is held.
func (d *Dispatcher) mergeRemoteCrashes(r rollup.FarWord, now time.Time) {
	for _, f := range d.quarantine.HearFar(r.Crashes, now) {
		d.logQuarantined(f, r.Region)
	}
}

func formatFingerprints(requests []quarantine.Fingerprint) string {
	var names []string
	for _, f := range requests[:min(len(requests), maxLoggedFingerprints)] {
		names = append(names, f.String())
	}
	return strings.Join(names, ",")
}

// maxLoggedFingerprints bounds the requests that are named in one line.
const maxLoggedFingerprints = 16
