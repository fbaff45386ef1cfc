// This file defines what one answer asks for.

package pushback

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Word is what one answer asks for: Rest, Nothing or Unclear.
type Word interface {
	// String is what logs show.
	String() string
	word()
}

// Rest asks for no more requests for so long from the answer on.
type Rest struct{ For time.Duration }

// Nothing asks for nothing.
type Nothing struct{}

// Unclear is a time that can't be read. It changes nothing.
type Unclear struct{ Text string }

func (Rest) word()    {}
func (Nothing) word() {}
func (Unclear) word() {}

// String implements Word.
func (r Rest) String() string { return r.For.String() }

// String implements Word.
func (Nothing) String() string { return "none" }

// String implements Word.
func (u Unclear) String() string { return "unclear: " + strconv.Quote(u.Text) }

// LongestRest is what a longer one counts as. After it a server is asked once, and may say the
// same again; without an end a slip of its clock would take it out for good.
const LongestRest = time.Hour

// Read gives what the head of a backend server's answer asks for. Only one that turns the request
// away for its own sake can: elsewhere Retry-After (RFC 9110, 10.2.3) is a word to the caller, or
// means nothing. now is the time of day, for a date in an answer that doesn't tell its own.
func Read(turnedAway bool, header http.Header, now time.Time) Word {
	if !turnedAway {
		return Nothing{}
	}
	var longest Word = Nothing{}
	for _, text := range header.Values("Retry-After") {
		wait, ok := parse(strings.TrimSpace(text), header, now)
		if !ok {
			return Unclear{Text: text}
		}
		if rest, resting := longest.(Rest); wait > 0 && (!resting || wait > rest.For) {
			longest = Rest{For: wait}
		}
	}
	return longest
}

// parse reads seconds, fractions included, or a date of HTTP. A date counts from the time that
// the answer itself tells: clocks of two hosts differ by more than many a rest is long.
func parse(text string, header http.Header, now time.Time) (wait time.Duration, ok bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, LongestRest.Seconds()) * float64(time.Second)), true
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	if sent, err := http.ParseTime(header.Get("Date")); err == nil {
		now = sent
	}
	return min(max(0, until.Sub(now)), LongestRest), true
}
