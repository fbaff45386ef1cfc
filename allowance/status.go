package allowance

import (
	"slices"
	"strings"
	"time"
)

// Status is one gateway's estimate of an account's use of its allowance, for operators.
type Status struct {
	Account   string  `json:"account"`
	Limit     float64 `json:"most"`     // units that this gateway and those it receives reports from may admit in a window
	Used      float64 `json:"used"`     // units admitted in the window, as estimated
	Requested float64 `json:"asked"`    // units a second requested at those gateways
	Admitted  float64 `json:"admitted"` // units a second admitted at those gateways
	Rejected  float64 `json:"refused"`  // units that this gateway rejected since its start
	Share     float64 `json:"share"`    // of the limit that this region keeps if it is partitioned
	Coverage  float64 `json:"coverage"` // fraction of its region's gateways whose usage is known
	// Age of each other region's latest report, in seconds; -1 for none.
	RegionAges map[string]float64 `json:"regions"`
}

// Statuses returns the status of every account that has a limit, sorted by name.
func (m *Meter) Statuses(now time.Time) []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	ages := make(map[string]float64)
	for _, region := range m.Regions {
		if region == m.Region {
			continue
		}
		ages[region] = -1
		if report, ok := m.remote[region]; ok {
			ages[region] = now.Sub(report.at).Seconds()
		}
	}
	out := make([]Status, 0, len(m.accounts))
	for name, a := range m.accounts {
		s := m.updateState(name, a, now)
		out = append(out, Status{
			Account: name, Limit: s.limit, Used: s.used, Requested: s.requested, Admitted: s.admitted,
			Rejected: a.rejected, Share: a.regionShares[m.Region], Coverage: m.local.coverage, RegionAges: ages,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Account, b.Account) })
	return out
}
