// This file parses what a response asks for.

package pushback

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Signal is what one response asks for: backoff, nothing, or something that can't be
// parsed.
type Signal interface {
	// String returns the text used in logs.
	String() string
	signal()
}

// Backoff asks for no requests during a time that begins with the response.
type Backoff struct{ Duration time.Duration }

// NoSignal means that the response asks for nothing.
type NoSignal struct{}

// Malformed is a Retry-After that can't be parsed. It is logged and otherwise ignored.
type Malformed struct{ Text string }

func (Backoff) signal()   {}
func (NoSignal) signal()  {}
func (Malformed) signal() {}

// String implements fmt.Stringer.
func (b Backoff) String() string { return b.Duration.String() }

// String implements fmt.Stringer.
func (NoSignal) String() string { return "none" }

// String implements fmt.Stringer.
func (m Malformed) String() string { return "unclear: " + strconv.Quote(m.Text) }

// MaxBackoff limits a backoff. After it the server gets a trial request, and can ask for
// the same again; without a limit, an error of its clock would exclude it for good.
const MaxBackoff = time.Hour

// Parse returns what the header of a backend server's response asks for. Only a response
// that rejects the request because of the server's own state can ask for backoff: in
// others, Retry-After (RFC 9110, 10.2.3) is meant for the caller, or has no meaning. now
// is the time of day, used for a Retry-After date if the response has no Date.
func Parse(rejected bool, header http.Header, now time.Time) Signal {
	if !rejected {
		return NoSignal{}
	}
	var longest Signal = NoSignal{}
	for _, text := range header.Values("Retry-After") {
		wait, ok := parseRetryAfter(strings.TrimSpace(text), header, now)
		if !ok {
			return Malformed{Text: text}
		}
		if backoff, found := longest.(Backoff); wait > 0 && (!found || wait > backoff.Duration) {
			longest = Backoff{Duration: wait}
		}
	}
	return longest
}

// parseRetryAfter parses a number of seconds, which may have a fraction, or an HTTP date.
// A date is relative to the Date of the response, because the clocks of two hosts often
// differ by more than a typical backoff.
func parseRetryAfter(text string, header http.Header, now time.Time) (wait time.Duration, ok bool) {
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		if math.IsNaN(seconds) || seconds < 0 {
			return 0, false
		}
		return time.Duration(min(seconds, MaxBackoff.Seconds()) * float64(time.Second)), true
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	if serverTime, err := http.ParseTime(header.Get("Date")); err == nil {
		now = serverTime
	}
	return min(max(0, until.Sub(now)), MaxBackoff), true
}
