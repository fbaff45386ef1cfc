package fleet

import "time"

// historySize is the number of samples in a loadHistory, and sampleSpacing the minimum
// time between two of them. Together they cover a longer period than the delay of load
// reports.
const (
	historySize   = 64
	sampleSpacing = 50 * time.Millisecond
)

// loadHistory records how many requests this host had in flight on an engine. A load
// report is delayed; to find the load that other hosts cause, the number at the time of
// the report is subtracted from it. The zero value is the history of a host that has sent
// none.
type loadHistory struct {
	samples [historySize]loadSample
	next    int // index of the next sample
}

type loadSample struct {
	at       time.Time
	inFlight int
}

// record adds a sample, or updates the latest one if it is more recent than sampleSpacing.
func (h *loadHistory) record(now time.Time, inFlight int) {
	last := &h.samples[(h.next+historySize-1)%historySize]
	if !last.at.IsZero() && now.Sub(last.at) < sampleSpacing {
		last.inFlight = inFlight
		return
	}
	h.samples[h.next] = loadSample{now, inFlight}
	h.next = (h.next + 1) % historySize
}

// at returns the number of requests at time t. It returns current, the number now, if all
// samples are later than t.
func (h *loadHistory) at(t time.Time, current int) int {
	for k := 1; k <= historySize; k++ {
		s := &h.samples[(h.next+historySize-k)%historySize]
		if s.at.IsZero() {
			return 0
		}
		if !s.at.After(t) {
			return s.inFlight
		}
	}
	return current
}
