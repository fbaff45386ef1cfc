// This file decides the next stage of a rollout.

package rollout

import "time"

// Progress is what the ledger's leader knows about a rollout.
type Progress struct {
	Rollout  Rollout
	Elapsed  time.Duration // since the order
	Switched time.Duration // since the Switching stage began
	Sums     []RouteCounts // of all gateways, see Sum
	Recent   []RouteCounts // with the latest answers of the new version only, see History
	// AnswersAtSwitch is the number of answers of the new version when the Switching stage
	// began.
	AnswersAtSwitch int
	Connected       []Report // the latest of each gateway that is running
	// LongestAnswer bounds the time of a request: the longest timeout of the service's
	// routes.
	LongestAnswer time.Duration
	Declared      bool // the catalog still declares the service
}

// minAnswers is how many answers of the new version are needed before all requests go to
// it.
const minAnswers = 10

// minSwitchedAnswers is how many answers of the new version to all requests are needed
// before the old engines may be terminated: a version may be bad only under load.
const minSwitchedAnswers = 100

// maxExtension is the multiple of its duration after which a rollout with too few answers
// is given up.
const maxExtension = 2

// Decision is the next stage of a rollout, and why.
type Decision struct {
	Stage  Stage // the current one if nothing changes
	Reason string
}

// Decide returns the stage that a rollout should be in.
func (p Policy) Decide(in Progress) Decision {
	r := in.Rollout
	if r.Stage.IsFinal() {
		return Decision{Stage: r.Stage}
	}
	if !in.Declared {
		return Decision{RolledBack, "the service is no longer declared"}
	}
	verdict := Judge(in.Sums)
	if !verdict.Bad {
		verdict = Judge(in.Recent)
	}
	switch {
	case verdict.Bad:
		return Decision{RolledBack, verdict.Reason}
	case r.Stage == Canary:
		return p.decideCanary(in)
	case in.Switched > in.LongestAnswer:
		return Decision{Completed, "requests on the old engines have exceeded the timeouts of their routes"}
	case in.isDrained() && NewAnswers(in.Sums)-in.AnswersAtSwitch >= minSwitchedAnswers:
		return Decision{Completed, "no request runs on the old engines"}
	default:
		return Decision{Stage: Switching}
	}
}

// decideCanary is Decide for a version that isn't bad so far.
func (p Policy) decideCanary(in Progress) Decision {
	switch {
	case in.Elapsed < p.SwitchAfter(in.Rollout.Duration):
		return Decision{Stage: Canary}
	case NewAnswers(in.Sums) >= minAnswers:
		return Decision{Switching, "the new version is as good as the old one"}
	case in.Elapsed < maxExtension*in.Rollout.Duration:
		return Decision{Stage: Canary}
	default:
		return Decision{RolledBack, "the new version answered too few requests to be judged"}
	}
}

// isDrained reports whether every connected gateway has applied the Switching stage and has
// no request on the old engines.
func (in Progress) isDrained() bool {
	for _, r := range in.Connected {
		if r.Stage != Switching || r.OldInFlight > 0 {
			return false
		}
	}
	return len(in.Connected) > 0
}
