package allowance

import "time"

// slots is how many parts a window is remembered in. One more is kept, so that rather too
// much is remembered than too little: 1.6 in 100 of what an account may do in it.
const slots = 64

// window is what was admitted lately, by time.
type window struct {
	slot  time.Duration // length of each part
	parts [slots + 1]float64
	sum   float64
	last  int64 // number of the newest part
}

// newWindow makes a window of that length, in which as much as may be was admitted,
// evenly: nothing is known of what was.
func newWindow(length time.Duration, most float64, now time.Time) *window {
	w := &window{slot: max(1, length/slots)}
	w.last = w.number(now)
	for i := range w.parts {
		w.parts[i] = most / float64(len(w.parts))
		w.sum += w.parts[i]
	}
	return w
}

func (w *window) number(now time.Time) int64 { return now.UnixNano() / int64(w.slot) }

// advance forgets what has left the window.
func (w *window) advance(now time.Time) {
	number := w.number(now)
	for n := max(w.last+1, number-slots); n <= number; n++ {
		part := &w.parts[n%int64(len(w.parts))]
		w.sum -= *part
		*part = 0
	}
	w.last = max(w.last, number)
	w.sum = max(0, w.sum)
}

// add notes what was admitted now, or takes it off.
func (w *window) add(n float64, now time.Time) {
	w.advance(now)
	part := &w.parts[w.last%int64(len(w.parts))]
	n = max(n, -*part)
	*part += n
	w.sum += n
}

// leaving gives how much leaves the window each second now.
func (w *window) leaving() float64 {
	const looked = 4
	sum := 0.0
	for i := int64(1); i <= looked; i++ {
		sum += w.parts[(w.last+i)%int64(len(w.parts))]
	}
	return sum / (looked * w.slot.Seconds())
}

// until gives how long it takes until so much has left the window.
func (w *window) until(n float64) time.Duration {
	for i := int64(1); i <= int64(len(w.parts)); i++ {
		if n -= w.parts[(w.last+i)%int64(len(w.parts))]; n <= 0 {
			return time.Duration(i) * w.slot
		}
	}
	return time.Duration(len(w.parts)) * w.slot
}
