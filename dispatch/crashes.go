// This file defines how a gateway detects that an engine crashed, and which requests were
// running there.

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

// SuspectEngine identifies an engine that may have crashed, because a connection to it broke.
type SuspectEngine struct {
	Incarnation string
	Address     string
}

// maxSuspectEngines bounds the suspects that wait for a probe. The registry reports the
// crashes of further engines, some seconds later.
const maxSuspectEngines = 64

// SuspectEngines returns the channel of engines whose connections have just broken. Its reader
// opens a connection to each engine and calls ConnectionRefused if the engine refuses it. This
// detects a crash within milliseconds, while the registry takes 3.5 heartbeats.
func (d *Dispatcher) SuspectEngines() <-chan SuspectEngine { return d.suspectEngines }

// recordBroken records that the request's connection to the engine broke. The lock is
// held.
func (t *Ticket) recordBroken(now time.Time) {
	d, e := t.dispatcher, t.engine
	if !d.crashDetector.RecordBreak(e.Incarnation(), t.brokenRun(now), now) {
		return
	}
	select {
	case d.suspectEngines <- SuspectEngine{Incarnation: e.Incarnation(), Address: e.Address}:
	default:
		d.Log.Warn("suspect engine not probed: queue full", zap.String("engine", e.ID))
	}
}

// ConnectionRefused records that a suspect engine refuses connections: its process has ended.
func (d *Dispatcher) ConnectionRefused(suspect SuspectEngine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	if d.isShuttingDown(suspect.Incarnation, now) {
		d.crashDetector.RemoveSuspect(suspect.Incarnation) // it was shutting down
		return
	}
	d.engineCrashed(suspect.Incarnation, "connection refused", now)
}

// isShuttingDown reports whether an engine has announced that it will end. The lock is held.
func (d *Dispatcher) isShuttingDown(incarnation string, now time.Time) bool {
	hash := hashString(incarnation)
	e, known := d.enginesByHash[hash]
	return (known && e.Phase != registry.Ready) || d.isDraining(hash, now)
}

// EngineShuttingDown reports whether the ticket's engine has announced that it will end, so that
// its end is no crash.
func (t *Ticket) EngineShuttingDown() bool {
	d := t.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isShuttingDown(t.engine.Incarnation(), d.Clock())
}

// resolveSuspects decides for each suspect engine, by its state in the registry, whether
// it crashed or shut down. The lock is held.
func (d *Dispatcher) resolveSuspects(now time.Time) {
	suspects := d.crashDetector.Suspects()
	if len(suspects) == 0 {
		return
	}
	phases := make(map[string]registry.Phase)
	for _, e := range d.Engines.All() {
		phases[e.Incarnation()] = e.Phase
	}
	for _, incarnation := range suspects {
		switch phase, registered := phases[incarnation]; {
		case d.isDraining(hashString(incarnation), now) && (!registered || phase >= registry.Unresponsive):
			d.crashDetector.RemoveSuspect(incarnation) // it announced draining in its answers
		case !registered:
			d.engineCrashed(incarnation, "no longer registered", now)
		case phase == registry.Unresponsive:
			d.engineCrashed(incarnation, "no heartbeat", now)
		case phase == registry.Left:
			d.crashDetector.RemoveSuspect(incarnation) // it shut down as announced
		}
	}
}

// engineCrashed records that an engine has ended, and counts the crash against the
// requests whose connections to it broke. The lock is held.
func (d *Dispatcher) engineCrashed(incarnation, evidence string, now time.Time) {
	runs := d.crashDetector.RemoveSuspect(incarnation)
	if len(runs) == 0 {
		return
	}
	d.Log.Warn("engine crashed", zap.String("engine", incarnation), zap.String("sign", evidence), zap.Int("requests", len(runs)),
		zap.String("fingerprints", formatFingerprints(runs)))
	if d.Metrics != nil {
		d.Metrics.CountEngineCrash(len(runs))
	}
	for _, run := range runs {
		if d.quarantine.RecordCrash(run.fingerprint, incarnation, now) {
			d.logQuarantined(run.fingerprint, "this gateway")
		}
		d.parts.RecordCrash(run.run, incarnation, run.brokeAt, now)
	}
}

func (d *Dispatcher) logQuarantined(f quarantine.Fingerprint, source string) {
	d.Log.Warn("request quarantined", zap.Stringer("fingerprint", f), zap.String("last_crash_seen_by", source))
}

// checkQuarantine rejects a request that is quarantined, or has a part in its prompt that is,
// because engines crashed while they ran it. trials lists the parts whose quarantine has ended and
// that the request tries. The lock is held.
func (d *Dispatcher) checkQuarantine(req Request, now time.Time) (trials []quarantine.Fingerprint, err error) {
	var rejection *quarantine.RejectedError
	if errors.As(d.quarantine.Check(req.Fingerprint, now), &rejection) {
		return nil, &request.NotRun{
			Reason: request.ReasonQuarantined, RetryAfter: rejection.RetryAfter,
			Message: rejection.Error() + ", " + strconv.Itoa(rejection.Crashes) + " of them; fingerprint " + req.Fingerprint.String(),
		}
	}
	return d.checkParts(req, now)
}

// mergeLocalCrashes applies the crashes that another gateway of the region reports. The
// lock is held.
func (d *Dispatcher) mergeLocalCrashes(m rollup.Message, now time.Time) {
	for _, f := range d.quarantine.ReceiveLocal(m.Report.Crashes, now) {
		d.logQuarantined(f, m.From)
	}
	d.logQuarantinedParts(d.parts.ReceiveLocal(m.Report.Parts, now), m.From)
}

// mergeRemoteCrashes applies the crashes that another region reports. The lock is held.
func (d *Dispatcher) mergeRemoteCrashes(r rollup.RegionReport, now time.Time) {
	for _, f := range d.quarantine.ReceiveRemote(r.Crashes, now) {
		d.logQuarantined(f, r.Region)
	}
	d.logQuarantinedParts(d.parts.ReceiveRemote(r.Parts, now), r.Region)
}

func formatFingerprints(runs []brokenRun) string {
	var names []string
	for _, run := range runs[:min(len(runs), maxLoggedFingerprints)] {
		names = append(names, run.fingerprint.String())
	}
	return strings.Join(names, ",")
}

// maxLoggedFingerprints bounds the fingerprints in one log line.
const maxLoggedFingerprints = 16
