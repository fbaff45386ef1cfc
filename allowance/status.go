package allowance

import (
	"slices"
	"strings"
	"time"
)

// Status is what one gateway knows of an account's allowance, for operators.
type Status struct {
	Account  string  `json:"account"`
	Most     float64 `json:"most"`     // units that all whom it hears may admit in a window
	Used     float64 `json:"used"`     // units of that, as far as is known
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
	for name, a := range m.accounts {
		s := m.standing(name, a, now)
		out = append(out, Status{
			Account: name, Most: s.most, Used: s.used, Asked: s.asked, Admitted: s.admitted,
			Refused: a.refused, Share: a.shares[m.Region], Coverage: m.near.coverage, Regions: ages,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Account, b.Account) })
	return out
}
