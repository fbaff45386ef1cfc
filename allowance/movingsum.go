package allowance

import "time"

// Slots of a movingSum.
const (
	movingSlotTime = 50 * time.Millisecond
	movingSlots    = 21 // one second, and the current slot
)

// movingSum sums what a gateway admitted or received within the last second, in slots. Each
// request counts for exactly as long as a report of it is used by its receivers, so that
// the reported rates add up to what was admitted, whatever its timing. An exponentially
// decaying average would count between half of a short burst and nearly twice it,
// depending on when it is read.
type movingSum struct {
	slots  [movingSlots]float64
	newest int64 // number of the current slot
}

func (m *movingSum) advance(now time.Time) {
	number := now.UnixNano() / int64(movingSlotTime)
	for n := max(m.newest+1, number-movingSlots+1); n <= number; n++ {
		m.slots[n%movingSlots] = 0
	}
	m.newest = max(m.newest, number)
}

func (m *movingSum) add(n float64, now time.Time) {
	m.advance(now)
	m.slots[m.newest%movingSlots] += n
}

// sumOver returns the sum over the period, including the current slot. It isn't negative
// where refunds within the period are of requests from before it.
func (m *movingSum) sumOver(now time.Time, period time.Duration) float64 {
	m.advance(now)
	sum := 0.0
	for i := range int64(period/movingSlotTime) + 1 {
		sum += m.slots[(m.newest-i)%movingSlots]
	}
	return max(0, sum)
}

// perSecond returns the rate over the last complete slots of the period.
func (m *movingSum) perSecond(now time.Time, period time.Duration) float64 {
	m.advance(now)
	count := int64(period / movingSlotTime)
	sum := 0.0
	for i := int64(1); i <= count; i++ {
		sum += m.slots[(m.newest-i)%movingSlots]
	}
	return max(0, sum/period.Seconds())
}
