package allowance

import "time"

// Parts of the moving sums of what a gateway admits.
const (
	partTime = 50 * time.Millisecond
	parts    = 21 // a second, and the one that isn't over yet
)

// moving is what was admitted in the last moments, by parts. Each request is in it for just
// as long as a report counts at whoever receives it, so that what they add up is what was
// admitted, however it came; an average whose weights fall with time may be half of a short
// burst or nearly twice it, as it happens to be looked at.
type moving struct {
	sums [parts]float64
	last int64 // number of the newest part
}

func (m *moving) advance(now time.Time) {
	number := now.UnixNano() / int64(partTime)
	for n := max(m.last+1, number-parts+1); n <= number; n++ {
		m.sums[n%parts] = 0
	}
	m.last = max(m.last, number)
}

func (m *moving) add(n float64, now time.Time) {
	m.advance(now)
	m.sums[m.last%parts] += n
}

// within gives what was admitted over that time, the part that isn't over yet included.
func (m *moving) within(now time.Time, over time.Duration) float64 {
	m.advance(now)
	sum := 0.0
	for i := range int64(over/partTime) + 1 {
		sum += m.sums[(m.last-i)%parts]
	}
	return sum
}

// perSecond gives what was admitted over the last whole parts of that time, a second.
func (m *moving) perSecond(now time.Time, over time.Duration) float64 {
	m.advance(now)
	count := int64(over / partTime)
	sum := 0.0
	for i := int64(1); i <= count; i++ {
		sum += m.sums[(m.last-i)%parts]
	}
	return max(0, sum/over.Seconds())
}
