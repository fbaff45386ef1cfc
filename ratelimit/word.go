// This file defines the limit that an engine's response signals.

package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Word is the information about an engine's limit in one response: a limit, none, or one
// that can't be parsed.
type Word interface {
	// String returns the signal as logs show it.
	String() string
	isSignal()
}

// Limited signals that the engine accepts this many requests per second from all gateways
// together.
type Limited struct{ PerSecond float64 }

// Unlimited signals that the engine names no limit.
type Unlimited struct{}

// Unclear is a limit that can't be parsed. It neither sets a limit nor lifts one.
type Unclear struct{ Text string }

func (Limited) isSignal()   {}
func (Unlimited) isSignal() {}
func (Unclear) isSignal()   {}

// String implements Word.
func (l Limited) String() string { return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s" }

// String implements Word.
func (Unlimited) String() string { return "none" }

// String implements Word.
func (u Unclear) String() string { return "unclear: " + strconv.Quote(u.Text) }

// Parse parses the limits in a response's header values, as decimal numbers. If there are
// several, for example two header lines that a proxy joined, the lowest counts.
func Parse(values []string) Word {
	if len(values) == 0 {
		return Unlimited{}
	}
	least := math.Inf(1)
	for _, text := range values {
		for part := range strings.SplitSeq(text, ",") {
			n, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
			if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
				return Unclear{Text: text}
			}
			least = min(least, n)
		}
	}
	return Limited{PerSecond: least}
}
