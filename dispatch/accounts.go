// This file defines how gateways tell each other what client accounts do.

package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/rollup"
)

// hashAccount names an account among gateways.
func hashAccount(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// ownUses gives what this gateway's callers do.
func (d *Dispatcher) ownUses(now time.Time) []rollup.AccountUse {
	if d.Allowances == nil {
		return nil
	}
	var out []rollup.AccountUse
	for name, use := range d.Allowances.Uses(now) {
		out = append(out, rollup.AccountUse{
			Account: hashAccount(name), Admitted: told(use.Admitted), Steady: told(use.Steady), Asked: told(use.Asked),
			Window: int(math.Ceil(use.Window)),
		})
	}
	return out
}

// regionUses gives what the callers of all the region's gateways do. The lock is held.
func (d *Dispatcher) regionUses(now time.Time) []rollup.AccountUse {
	if d.Allowances == nil {
		return nil
	}
	sums := d.board.Others().Accounts
	for _, own := range d.ownUses(now) {
		sum := sums[own.Account]
		sums[own.Account] = rollup.AccountUse{
			Account: own.Account, Admitted: sum.Admitted + own.Admitted, Steady: sum.Steady + own.Steady,
			Asked: sum.Asked + own.Asked, Window: sum.Window + own.Window,
		}
	}
	out := make([]rollup.AccountUse, 0, len(sums))
	for _, use := range sums {
		out = append(out, use)
	}
	return out
}

// hearNearUses takes over what the callers of the region's other gateways do. The lock
// is held.
func (d *Dispatcher) hearNearUses(others rollup.Others) {
	if d.Allowances == nil {
		return
	}
	coverage := 1.0
	if others.Alive > others.Gateways {
		coverage = float64(1+others.Gateways) / float64(1+others.Alive)
	}
	uses := make(map[string]allowance.Use, len(others.Accounts))
	for _, use := range others.Accounts {
		if name, ok := d.accounts[use.Account]; ok {
			uses[name] = useOf(use)
		}
	}
	d.Allowances.HearNear(uses, coverage, d.Clock())
}

// hearFarUses takes over what callers do in another region. The lock is held.
func (d *Dispatcher) hearFarUses(region string, told []rollup.AccountUse, at time.Time) {
	if d.Allowances == nil {
		return
	}
	uses := make(map[string]allowance.Use, len(told))
	for _, use := range told {
		if name, ok := d.accounts[use.Account]; ok {
			uses[name] = useOf(use)
		}
	}
	d.Allowances.HearFar(region, uses, at, d.Clock())
}

func useOf(use rollup.AccountUse) allowance.Use {
	units := func(told int) float64 { return float64(max(0, told)) / useScale }
	return allowance.Use{Admitted: units(use.Admitted), Steady: units(use.Steady), Asked: units(use.Asked), Window: float64(max(0, use.Window))}
}

// useScale is in how many parts of a unit uses are told: with whole ones, an account that
// is counted in requests was not heard of where each gateway had less than one a second.
const useScale = 100

func told(unitsPerSecond float64) int { return int(math.Round(unitsPerSecond * useScale)) }

// takeAccounts takes over the accounts of a catalog. The lock is held.
func (d *Dispatcher) takeAccounts() {
	clear(d.accounts)
	for _, a := range d.table.Accounts() {
		d.accounts[hashAccount(a.Name)] = a.Name
	}
	if d.Allowances != nil {
		d.Allowances.Take(d.table.Accounts(), d.Clock())
	}
}
