// This file defines the headers with which one entry host hands a request over
// to another. Only the listener for entry hosts accepts them; a caller's request
// that has one is rejected.

package request

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/linenscale/linenscale/streams"
)

// handoverPrefix starts the name of every header that only entry hosts may send.
const handoverPrefix = "Linenscale-Handover-"

// Headers that describe a hand-over.
const (
	headerPath      = handoverPrefix + "Path"      // entry hosts visited so far, separated by commas
	headerRemaining = handoverPrefix + "Remaining" // milliseconds until the deadline
	headerRevision  = handoverPrefix + "Revision"  // configuration revision that the sender admitted the request under
	headerSends     = handoverPrefix + "Sends"     // number of sends to engines so far
	headerOrigin    = handoverPrefix + "Origin"    // origin of the stream that the request continues
	headerCounter   = handoverPrefix + "Counter"   // where further sends are to be counted; see SendCounter
	headerCount     = handoverPrefix + "Count"     // on a request of its own: the counter's number and the sends
)

// HeaderSends is set on every answer to a request that was handed over. Its value is
// the number of times that the request has been sent to engines so far. A stream that
// breaks later repeats it as a trailer, next to HeaderOutcome.
const HeaderSends = "Linenscale-Sends"

// HeaderStreamOrigin is set on the answer to a hand-over that is a resumable stream. Its value
// is the streams.Origin of the engine that answers.
const HeaderStreamOrigin = "Linenscale-Stream-Origin"

// HeaderReason carries the Reason of a refusal between entry hosts, next to
// HeaderOutcome.
const HeaderReason = "Linenscale-Reason"

// HeaderUnframed is "true" on the answer to a hand-over if the engine's answer has neither a
// length nor chunks. The answer to the hand-over is framed; its end shows only that all bytes
// of the engine's answer have arrived, not that the engine's answer was complete.
const HeaderUnframed = "Linenscale-Unframed"

// RemoveAnswerHeaders removes all headers of an answer that only entry hosts may send, so that
// none that an engine sends is taken for an entry host's.
func RemoveAnswerHeaders(header http.Header) {
	for _, name := range []string{HeaderOutcome, HeaderReason, HeaderSends, HeaderStreamOrigin, HeaderUnframed} {
		header.Del(name)
	}
}

// MaxHandovers bounds how many times one request is handed over.
const MaxHandovers = 1

// findReservedHeader returns a header that callers may not send, or "" if there is
// none.
func findReservedHeader(header http.Header) string {
	for name := range header {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), handoverPrefix) {
			return name
		}
	}
	return ""
}

// RemoveHandoverHeaders removes all headers that only entry hosts may send.
func RemoveHandoverHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(http.CanonicalHeaderKey(name), handoverPrefix) {
			header.Del(name)
		}
	}
}

// SetHandoverHeaders sets the hand-over headers for the next entry host. The time that
// remains is sent instead of the deadline, so that the hosts' clocks need not agree.
func (r Request) SetHandoverHeaders(header http.Header, now time.Time, revision uint64) {
	header.Set(headerPath, strings.Join(r.VisitedHosts, ","))
	header.Set(headerRemaining, strconv.FormatInt(r.Deadline.Sub(now).Milliseconds(), 10))
	header.Set(headerRevision, strconv.FormatUint(revision, 10))
	header.Set(HeaderRequestID, r.ID)
	if r.PriorSends > 0 {
		header.Set(headerSends, strconv.Itoa(r.PriorSends))
	}
	if r.Origin != nil {
		header.Set(headerOrigin, r.Origin.String())
	}
	if r.Counter.Address != "" {
		header.Set(headerCounter, fmt.Sprint(r.Counter.Address, " ", r.Counter.Number))
	}
}

// SendCounter is where the entry host that handed a request over counts its sends. The zero
// value is that of a host which counts none there.
type SendCounter struct {
	Address string // of that host's listener for entry hosts
	Number  uint64 // of the hand-over, unique for a life of that host
}

// ParseCounter returns the counter of a handed-over request. Call it before ExtractHandover,
// which removes the header.
func ParseCounter(header http.Header) (c SendCounter) {
	if _, err := fmt.Sscan(header.Get(headerCounter), &c.Address, &c.Number); err != nil {
		return SendCounter{}
	}
	return c
}

// CountHeader returns the header of a request that asks the counter's host to count so many
// sends.
func (c SendCounter) CountHeader(sends int) http.Header {
	return http.Header{headerCount: {fmt.Sprint(c.Number, " ", sends)}}
}

// ParseCount returns the counter's number and the sends to count if the request asks for that.
func ParseCount(header http.Header) (number uint64, sends int, ok bool) {
	_, err := fmt.Sscan(header.Get(headerCount), &number, &sends)
	return number, sends, err == nil
}

// ParseSends returns how many times a request was sent to engines before it was
// handed over. Call it before ExtractHandover, which removes the header.
func ParseSends(header http.Header) int {
	sends, err := strconv.Atoi(header.Get(headerSends))
	if err != nil {
		return 0 // SetHandoverHeaders omits the header if the request has not been sent
	}
	return max(0, sends)
}

// ParseOrigin returns the origin of the stream that a handed-over request continues; nil if the
// header states none. Call it before ExtractHandover, which removes the header.
func ParseOrigin(header http.Header) *streams.Origin {
	origin, ok := streams.Parse(header.Get(headerOrigin))
	if !ok {
		return nil
	}
	return &origin
}

// ExtractHandover reads and removes the hand-over headers. It returns the entry hosts
// visited so far and the time left until the deadline. The error is a *NotRun if a
// header is missing or malformed, no time is left, or there were more than
// MaxHandovers hand-overs.
func ExtractHandover(header http.Header) (path []string, remaining time.Duration, err error) {
	pathText, err := singleValue(header, headerPath)
	if err != nil {
		return nil, 0, err
	}
	remainingText, err := singleValue(header, headerRemaining)
	if err != nil {
		return nil, 0, err
	}
	RemoveHandoverHeaders(header)
	if pathText == "" {
		return nil, 0, BadRequestf("header %s is missing from a hand-over", headerPath)
	}
	path = strings.Split(pathText, ",")
	if len(path) > MaxHandovers {
		return nil, 0, &NotRun{Reason: ReasonHandoverLoop, Message: "the request has been handed over " + strconv.Itoa(len(path)) + " times: " + pathText}
	}
	millis, err := strconv.ParseInt(remainingText, 10, 64)
	if err != nil || millis <= 0 {
		return nil, 0, &NotRun{Reason: ReasonDeadline, Message: "no time remains for the hand-over"}
	}
	return path, time.Duration(millis) * time.Millisecond, nil
}
