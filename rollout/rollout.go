// Package rollout decides how the traffic of a service moves from the engines of one
// software version to those of another.
//
// An operator orders a Rollout with a duration. While it is in the Canary stage, each
// gateway sends a small fixed share of the first attempts to engines of the new version
// (Policy.Selects), so that the share over all gateways holds without any communication,
// also while hosts are partitioned. Gateways count the answers of both versions (Counts),
// and the ledger's leader compares them (Judge). A bad version is rolled back as soon as
// the evidence is significant. A good one gets all requests in the Switching stage, which
// starts so late that even a version that fails only then receives no more than the
// permitted share within the duration. The rollout is Completed once no request runs on
// the old engines, since those are then terminated without draining.
//
// The load that these decisions answer is a service with a steady rate of requests and two
// sets of engines, of which one may fail, or be slow, for all requests or for those of a
// single route, at once or later.
package rollout

import (
	"time"

	"github.com/linenscale/linenscale/internal/rendezvous"
)

// Stage is the state of a rollout.
type Stage string

// The stages. Completed and RolledBack are final.
const (
	Canary     Stage = "canary"      // a small share of the requests goes to the new version
	Switching  Stage = "switching"   // all requests go to the new version; the old one finishes its own
	Completed  Stage = "completed"   // the old engines may be terminated
	RolledBack Stage = "rolled_back" // no request goes to the new version
)

// IsFinal reports whether the stage never changes again.
func (s Stage) IsFinal() bool { return s == Completed || s == RolledBack }

// MayFollow reports whether a rollout may move from the stage before to this one.
func (s Stage) MayFollow(before Stage) bool {
	switch before {
	case Canary:
		return s == Switching || s == RolledBack
	case Switching:
		return s == Completed || s == RolledBack
	default:
		return false
	}
}

// Rollout is an operator's order to move a service's traffic to engines of a version.
type Rollout struct {
	ID       uint64        `json:"id"` // log index of the order
	Service  string        `json:"service"`
	Version  string        `json:"version"`
	Duration time.Duration `json:"duration"`
	Stage    Stage         `json:"stage"`
}

// WithStage returns the rollout in another stage.
func (r Rollout) WithStage(s Stage) Rollout {
	r.Stage = s
	return r
}

// IsRepeat reports whether an order is the same as that of r. Operators send an order again
// if they get no clear answer, also after its rollout has ended.
func (r Rollout) IsRepeat(order Rollout) bool {
	return r.Service == order.Service && r.Version == order.Version && r.Duration == order.Duration
}

// Permits reports whether ordinary requests, those that Policy.Selects doesn't select for
// the new version, may run on engines of a version.
func (r Rollout) Permits(version string) bool {
	isNew := version == r.Version
	switch r.Stage {
	case Switching, Completed:
		return isNew
	default:
		return !isNew
	}
}

// Policy bounds how many requests an unjudged version receives.
type Policy struct {
	// Exposure is the share of a service's requests that a bad version may receive within
	// the duration of its rollout, over all gateways.
	Exposure float64
}

// DefaultExposure is the exposure where the settings give none.
const DefaultExposure = 0.1

const (
	// canaryShare is the part of the exposure that the Canary stage uses. The Switching
	// stage uses nearly all of the rest; what remains covers the random deviation of the
	// selected share and retries.
	canaryShare    = 0.5
	switchingShare = 0.4
)

// CanaryShare returns the share of the requests that the Canary stage sends to the new
// version.
func (p Policy) CanaryShare() float64 { return canaryShare * p.exposure() }

func (p Policy) exposure() float64 {
	if p.Exposure <= 0 || p.Exposure > 1 {
		return DefaultExposure
	}
	return p.Exposure
}

// Selects reports whether the first attempt of a request goes to the new version in the
// Canary stage. It depends on nothing but the request and the rollout, so that a request
// that is handed over is selected, or not, wherever it arrives. requestHash is a uniformly
// distributed hash of the request's ID.
func (p Policy) Selects(r Rollout, requestHash uint64) bool {
	const uniformBits = 53
	uniform := float64(rendezvous.Rank(requestHash, r.ID)>>(64-uniformBits)) / (1 << uniformBits)
	return r.Stage == Canary && uniform < p.CanaryShare()
}

// SwitchAfter returns how long after its order a rollout may enter the Switching stage.
// Until the end of the duration the new version then receives
//
//	CanaryShare*SwitchAfter + (Duration-SwitchAfter)
//
// of the requests, which is below Exposure*Duration at a steady rate.
func (p Policy) SwitchAfter(d time.Duration) time.Duration {
	return d - time.Duration(switchingShare*p.exposure()*float64(d))
}
