// This file defines what an engine's answer says of its limit.

package ratelimit

import (
	"math"
	"strconv"
	"strings"
)

// Word is what one answer says of how many requests its engine takes: Limited, Unlimited or
// Unclear.
type Word interface {
	// String is what logs show.
	String() string
	word()
}

// Limited says that the engine takes so many requests a second from all gateways together.
type Limited struct{ PerSecond float64 }

// Unlimited says that the engine names no limit.
type Unlimited struct{}

// Unclear is a limit that can't be read: it neither sets one nor lifts the one before.
type Unclear struct{ Text string }

func (Limited) word()   {}
func (Unlimited) word() {}
func (Unclear) word()   {}

// String implements Word.
func (l Limited) String() string { return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s" }

// String implements Word.
func (Unlimited) String() string { return "none" }

// String implements Word.
func (u Unclear) String() string { return "unclear: " + strconv.Quote(u.Text) }

// Parse reads the limits that an answer names, as decimal numbers. Of several, as two header
// lines that a proxy joined, the least holds.
func Parse(named []string) Word {
	if len(named) == 0 {
		return Unlimited{}
	}
	least := math.Inf(1)
	for _, text := range named {
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
