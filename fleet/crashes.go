// This file defines how the fleet quarantines requests that crash engines.

package fleet

import (
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/request"
)

// crashInterval is the length of the intervals by which crashes of a declared engine are
// told apart. Declared engines don't report when they were started, so all crashes
// detected within one interval count as one. Several hosts detect each crash, within a
// second or two.
const crashInterval = 10 * time.Second

// incarnation identifies the incarnation of an engine that crashes now.
func incarnation(engine string, now time.Time) string {
	return engine + "@" + strconv.FormatInt(now.UnixNano()/int64(crashInterval), 10)
}

// checkQuarantine returns a *request.NotRun if the request is quarantined. f.mu must be
// held.
func (f *Fleet) checkQuarantine(fp quarantine.Fingerprint, now time.Time) error {
	var rejection *quarantine.RejectedError
	if !errors.As(f.quarantine.Check(fp, now), &rejection) {
		return nil
	}
	return &request.NotRun{Reason: request.ReasonQuarantined, Message: rejection.Error() + "; fingerprint " + fp.String(), RetryAfter: rejection.RetryAfter}
}

// ConnectionRefused records that an engine refuses connections, which means that its
// process has ended. Requests whose connections to it broke just before are reported as the
// cause.
func (f *Fleet) ConnectionRefused(engine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for _, fp := range f.crashDetector.RemoveSuspect(engine) {
		f.quarantine.RecordCrash(fp, incarnation(engine, now), now)
	}
}

// OutgoingCrashReports returns the crash reports to send to the other hosts.
func (f *Fleet) OutgoingCrashReports() []quarantine.CrashReport {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Summary(f.clock())
}

// ReceiveCrashReports applies the crash reports of another host, which are age old. It returns
// the fingerprints that are quarantined as a result.
func (f *Fleet) ReceiveCrashReports(reports []quarantine.CrashReport, age time.Duration) []quarantine.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	return f.quarantine.ReceiveLocal(quarantine.AddAge(reports, age), now)
}
