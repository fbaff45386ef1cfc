// This file defines how the fleet keeps requests from engines that crash under them.

package fleet

import (
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/quarantine"
	"github.com/linenscale/linenscale/request"
)

// minIncarnation is how long a life of a declared engine is taken to be at least. Declared engines
// don't say when they were started, so that one host's crash is taken for another's where
// both fall into the same ten seconds: several hosts see each one, within a second or two.
const minIncarnation = 10 * time.Second

// incarnation names the life of an engine that ends now.
func incarnation(engine string, now time.Time) string {
	return engine + "@" + strconv.FormatInt(now.UnixNano()/int64(minIncarnation), 10)
}

// checkQuarantine refuses a request under which engines crashed. The lock is held.
func (f *Fleet) checkQuarantine(fp quarantine.Fingerprint, now time.Time) error {
	var rejection *quarantine.Refused
	if !errors.As(f.quarantine.Check(fp, now), &rejection) {
		return nil
	}
	return &request.NotRun{Reason: request.ReasonQuarantined, Message: rejection.Error() + "; fingerprint " + fp.String(), RetryAfter: rejection.RetryAfter}
}

// Refused notes that an engine takes no connections: its process has ended.
func (f *Fleet) Refused(engine string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	for _, fp := range f.crashDetector.Crashed(engine) {
		f.quarantine.Crashed(fp, incarnation(engine, now), now)
	}
}

// TellCrashes gives what this host knows of crashes, for the others.
func (f *Fleet) TellCrashes() []quarantine.Note {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantine.Standing(f.clock())
}

// HearCrashes takes what another host told of crashes so long ago. It gives the requests
// that are refused from now on.
func (f *Fleet) HearCrashes(reports []quarantine.Note, age time.Duration) []quarantine.Fingerprint {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	return f.quarantine.HearNear(quarantine.Older(reports, age), now)
}
