package allowance

import (
	"slices"
	"strings"
	"time"
)

// Status is what one gateway knows of an account's allowance, for operators.
type Status struct {
	Account  string  `json:"account"`
	Rate     float64 `json:"rate"`     // units a second that all whom it hears may admit
	Level    float64 `json:"level"`    // units left of the burst
	Asked    float64 `json:"asked"`    // units a second, by all callers whom it hears of
	Admitted float64 `json:"admitted"` // units a second, of those
	Refused  float64 `json:"refused"`  // units that this gateway has refused since its start
	Share    float64 `json:"share"`    // of the whole allowance, for this region if it is cut off
	Coverage float64 `json:"coverage"` // of its region's gateways, the share that it hears
	// Regions is how long ago each other region was heard, in seconds; -1 for never.
	Regions map[string]float64 `json:"regions"`
}

// Statuses gives what is known of every limited account, in the order of their names.
func (m *Meter) Statuses(now time.Time) []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := make(map[string]float64)
	for _, region := range m.Regions {
		if region == m.Region {
			continue
		}
		ages[region] = -1
		if w, ok := m.far[region]; ok {
			ages[region] = now.Sub(w.at).Seconds()
		}
	}
	out := make([]Status, 0, len(m.accounts))
	for name, b := range m.accounts {
		s := m.standing(name, b, now)
		out = append(out, Status{
			Account: name, Rate: s.rate, Level: s.level, Asked: s.asked, Admitted: s.admitted,
			Refused: b.refused, Share: b.shares[m.Region], Coverage: m.near.coverage, Regions: ages,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Account, b.Account) })
	return out
}
