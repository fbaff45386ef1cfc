// This file defines how the evidence of engines' speeds is exchanged: less often than the
// rest of the reports, since it changes slowly and has every engine.

package rollup

import (
	"slices"
	"time"
)

const (
	// speedReports is the number of reports of which one has speeds. In between, those of the
	// last one count.
	speedReports = 3
	// Speeds of more than largeSum engines are sent half as often. They would otherwise be most of
	// what the gateways of large regions tell each other.
	largeSum = 128
	// speedTTL is how long received speeds count: the loss of one message has no effect.
	speedTTL = 4*speedReports*ReportInterval + ReportInterval
	// speedHistory is how many of its own sent speeds a gateway retains, to subtract them from
	// sums that include them: a sum counts for up to speedTTL, and includes speeds of up to
	// twice that age.
	speedHistory = 12
)

// receivedSpeeds are the latest speeds in the messages of one gateway.
type receivedSpeeds struct {
	receivedAt time.Time
	members    []Member // reports that they include
	speeds     []EngineSpeed
}

// withSpeedsOf returns the message with its speeds, or those of an earlier message of the
// same gateway if it has none.
func (m receivedMessage) withSpeedsOf(earlier receivedMessage, now time.Time) receivedMessage {
	switch {
	case len(m.Report.Speeds) > 0:
		m.speeds = receivedSpeeds{now, m.Members, m.Report.Speeds}
	case m.From == earlier.From:
		m.speeds = earlier.speeds
	}
	return m
}

// reportWithSpeeds returns the message's report with the speeds that count.
func (m receivedMessage) reportWithSpeeds(now time.Time) Report {
	r := m.Report
	r.Speeds = nil
	if now.Sub(m.speeds.receivedAt) <= speedTTL {
		r.Speeds = m.speeds.speeds
	}
	return r
}

// ownSpeeds returns the speeds of this gateway that count as of its current report: these if
// they are due, else those that were last sent.
func (a *Aggregator) ownSpeeds(speeds []EngineSpeed) []EngineSpeed {
	if a.speedsAreDue() {
		*a.sentSpeedsOf(a.lastNumber) = speeds
	}
	return *a.sentSpeedsOf(a.lastNumber)
}

// sentSpeedsOf returns where the speeds are that counted as of a report of this gateway.
func (a *Aggregator) sentSpeedsOf(number uint32) *[]EngineSpeed {
	return &a.sentSpeeds[number/speedReports%speedHistory]
}

// withDueSpeeds returns a report without speeds unless they are due.
func (a *Aggregator) withDueSpeeds(r Report) Report {
	if !a.speedsAreDue() || len(r.Speeds) > largeSum && a.lastNumber%(2*speedReports) != 0 {
		r.Speeds = nil
	}
	return r
}

func (a *Aggregator) speedsAreDue() bool { return a.lastNumber%speedReports == 0 }

// subtractOwnSpeeds subtracts this gateway's own evidence from the sum of the region's total.
func (a *Aggregator) subtractOwnSpeeds(s *sum) {
	total := a.regionTotal.speeds
	self := hashOf(a.Self.Name)
	i := slices.IndexFunc(total.members, func(m Member) bool { return m.NameHash == self })
	if i < 0 || a.Clock().Sub(total.receivedAt) > speedTTL {
		return
	}
	own := *a.sentSpeedsOf(total.members[i].ReportNumber)
	s.addLoadReports(Report{Speeds: slices.DeleteFunc(slices.Clone(own), func(e EngineSpeed) bool {
		_, included := s.speeds[e.Engine]
		return !included // more than maxSpeeds
	})}, -1)
}
