package allowance

import "time"

// windowSlots is the number of slots in a window. One more is kept, so that the sum is
// too high rather than too low: by up to 1.6% of an account's limit for the window.
const windowSlots = 64

// window sums units over a sliding period, in slots.
type window struct {
	slotTime time.Duration // length of one slot
	slots    [windowSlots + 1]float64
	sum      float64
	newest   int64 // number of the current slot
}

// newWindow returns a window of that length which holds the total, spread evenly: when it
// was admitted is unknown.
func newWindow(length time.Duration, total float64, now time.Time) *window {
	w := &window{slotTime: max(1, length/windowSlots)}
	w.newest = w.slotNumber(now)
	for i := range w.slots {
		w.slots[i] = total / float64(len(w.slots))
		w.sum += w.slots[i]
	}
	return w
}

func (w *window) slotNumber(now time.Time) int64 { return now.UnixNano() / int64(w.slotTime) }

// advance drops the slots that have left the window.
func (w *window) advance(now time.Time) {
	number := w.slotNumber(now)
	for n := max(w.newest+1, number-windowSlots); n <= number; n++ {
		slot := &w.slots[n%int64(len(w.slots))]
		w.sum -= *slot
		*slot = 0
	}
	w.newest = max(w.newest, number)
	w.sum = max(0, w.sum)
}

// add counts units in the current slot.
func (w *window) add(units float64, now time.Time) {
	w.advance(now)
	w.slots[w.newest%int64(len(w.slots))] += units
	w.sum += units
}

// addAt counts units in the slot of an earlier time, if that is still in the window.
func (w *window) addAt(units float64, at, now time.Time) {
	w.advance(now)
	number := min(w.slotNumber(at), w.newest)
	if number < w.newest-windowSlots {
		return
	}
	w.slots[number%int64(len(w.slots))] += units
	w.sum += units
}

// subtract removes units that were added at an earlier time from the slot that has them.
// The current slot may hold less than that, and units that stayed in theirs would use up
// the limit until they leave the window.
func (w *window) subtract(units float64, addedAt, now time.Time) {
	w.advance(now)
	number := min(w.slotNumber(addedAt), w.newest)
	if number < w.newest-windowSlots {
		return
	}
	slot := &w.slots[number%int64(len(w.slots))]
	units = min(units, *slot)
	*slot -= units
	w.sum = max(0, w.sum-units)
}

// expiryRate returns how many units currently leave the window per second, averaged over
// the next few slots.
func (w *window) expiryRate() float64 {
	const lookahead = 4
	sum := 0.0
	for i := int64(1); i <= lookahead; i++ {
		sum += w.slots[(w.newest+i)%int64(len(w.slots))]
	}
	return sum / (lookahead * w.slotTime.Seconds())
}

// timeToExpire returns how long it takes until that many units have left the window.
func (w *window) timeToExpire(units float64) time.Duration {
	for i := int64(1); i <= int64(len(w.slots)); i++ {
		if units -= w.slots[(w.newest+i)%int64(len(w.slots))]; units <= 0 {
			return time.Duration(i) * w.slotTime
		}
	}
	return time.Duration(len(w.slots)) * w.slotTime
}
