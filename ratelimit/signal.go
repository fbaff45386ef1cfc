// This file defines the limit that an engine's response signals.

package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Signal is the information about an engine's limit in one response: a limit, none, or one
// that can't be parsed.
type Signal interface {
	// String returns the signal as logs show it.
	String() string
	isSignal()
}

// Limited signals that the engine accepts this many requests per second from all gateways
// together.
type Limited struct{ PerSecond float64 }

// Unlimited signals that the engine names no limit.
type Unlimited struct{}

// Malformed is a limit that can't be parsed. It neither sets a limit nor lifts one.
type Malformed struct{ Text string }

func (Limited) isSignal()   {}
func (Unlimited) isSignal() {}
func (Malformed) isSignal() {}

// String implements Signal.
func (l Limited) String() string { return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s" }

// String implements Signal.
func (Unlimited) String() string { return "none" }

// String implements Signal.
func (m Malformed) String() string { return "unclear: " + strconv.Quote(m.Text) }

// Parse parses the limits in a response's header values, as decimal numbers. If there are
// several, for example two header lines that a proxy joined, the lowest counts.
func Parse(values []string) Signal {
	if len(values) == 0 {
		return Unlimited{}
	}
	least := math.Inf(1)
	for _, text := range values {
		for part := range strings.SplitSeq(text, ",") {
			n, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
			if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n < 0 {
				return Malformed{Text: text}
			}
			least = min(least, n)
		}
	}
	return Limited{PerSecond: least}
}
