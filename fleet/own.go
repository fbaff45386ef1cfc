package fleet

import "time"

// historySize is how many samples are kept, and sampleSpacing their least distance.
// Together they reach back further than load reports lag.
const (
	historySize   = 64
	sampleSpacing = 50 * time.Millisecond
)

// loadHistory remembers how many requests this host had on an engine, so that a
// report that lags can be corrected by what this host had there at its time.
// The zero value is a host that never had any.
type loadHistory struct {
	samples [historySize]loadSample
	next    int // where the next sample goes
}

type loadSample struct {
	at       time.Time
	inFlight int
}

// record remembers the number from now on.
func (o *loadHistory) record(now time.Time, inFlight int) {
	last := &o.samples[(o.next+historySize-1)%historySize]
	if !last.at.IsZero() && now.Sub(last.at) < sampleSpacing {
		last.inFlight = inFlight
		return
	}
	o.samples[o.next] = loadSample{now, inFlight}
	o.next = (o.next + 1) % historySize
}

// at gives the number at a time; present is what it is now, and is given where
// no sample is older than the time.
func (o *loadHistory) at(t time.Time, current int) int {
	for k := 1; k <= historySize; k++ {
		s := &o.samples[(o.next+historySize-k)%historySize]
		if s.at.IsZero() {
			return 0
		}
		if !s.at.After(t) {
			return s.inFlight
		}
	}
	return current
}
