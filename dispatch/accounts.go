// This file defines how gateways exchange the usage of client accounts.

package dispatch

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/linenscale/linenscale/allowance"
	"github.com/linenscale/linenscale/rollup"
)

// hashAccount returns the hash that stands for an account in messages between gateways.
func hashAccount(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// ownUsage returns the account usage of this gateway's callers.
func (d *Dispatcher) ownUsage(now time.Time) []rollup.AccountUsage {
	if d.Allowances == nil {
		return nil
	}
	var out []rollup.AccountUsage
	for name, use := range d.Allowances.OwnUsage(now) {
		out = append(out, rollup.AccountUsage{
			Account: hashAccount(name), AdmittedRate: encodeRate(use.AdmittedRate), SmoothedRate: encodeRate(use.SmoothedRate), RequestedRate: encodeRate(use.RequestedRate),
			WindowTotal: int(math.Ceil(use.WindowTotal)),
		})
	}
	return out
}

// ownRefunds returns what was refunded to the accounts of this gateway's callers.
func (d *Dispatcher) ownRefunds(now time.Time) []rollup.AccountRefund {
	if d.Allowances == nil {
		return nil
	}
	var out []rollup.AccountRefund
	for name, use := range d.Allowances.OwnUsage(now) {
		if units := int(use.RefundedTotal); units > 0 {
			out = append(out, rollup.AccountRefund{Account: hashAccount(name), Units: units})
		}
	}
	return out
}

// regionRefunds returns the refunds summed over all gateways of the region. The lock is held.
func (d *Dispatcher) regionRefunds(now time.Time) []rollup.AccountRefund {
	if d.Allowances == nil {
		return nil
	}
	sums := d.aggregator.PeerTotals().Refunds
	for _, own := range d.ownRefunds(now) {
		sums[own.Account] = rollup.AccountRefund{Account: own.Account, Units: sums[own.Account].Units + own.Units}
	}
	return slices.Collect(maps.Values(sums))
}

// regionUsage returns the account usage summed over all gateways of the region. The lock
// is held.
func (d *Dispatcher) regionUsage(now time.Time) []rollup.AccountUsage {
	if d.Allowances == nil {
		return nil
	}
	sums := d.aggregator.PeerTotals().Accounts
	for _, own := range d.ownUsage(now) {
		others := sums[own.Account]
		sums[own.Account] = rollup.AccountUsage{
			Account: own.Account, AdmittedRate: others.AdmittedRate + own.AdmittedRate, SmoothedRate: others.SmoothedRate + own.SmoothedRate,
			RequestedRate: others.RequestedRate + own.RequestedRate, WindowTotal: others.WindowTotal + own.WindowTotal,
		}
	}
	out := make([]rollup.AccountUsage, 0, len(sums))
	for _, use := range sums {
		out = append(out, use)
	}
	return out
}

// applyLocalUsage passes the usage reported by the region's other gateways to the meter,
// with the share of the live gateways that the report covers. The lock is held.
func (d *Dispatcher) applyLocalUsage(others rollup.PeerTotals) {
	if d.Allowances == nil {
		return
	}
	coverage := 1.0
	if others.Listed > others.Reporting {
		coverage = float64(1+others.Reporting) / float64(1+others.Listed)
	}
	uses := make(map[string]allowance.Usage, len(others.Accounts))
	for _, use := range others.Accounts {
		if name, ok := d.accountNames[use.Account]; ok {
			uses[name] = decodeUsage(use)
		}
	}
	d.addRefunds(uses, slices.Collect(maps.Values(others.Refunds)))
	d.Allowances.ReceiveLocal(uses, coverage, d.Clock())
}

// applyRemoteUsage passes the usage reported by another region to the meter. The lock is
// held.
func (d *Dispatcher) applyRemoteUsage(region string, reported []rollup.AccountUsage, refunds []rollup.AccountRefund, at time.Time) {
	if d.Allowances == nil {
		return
	}
	uses := make(map[string]allowance.Usage, len(reported))
	for _, use := range reported {
		if name, ok := d.accountNames[use.Account]; ok {
			uses[name] = decodeUsage(use)
		}
	}
	d.addRefunds(uses, refunds)
	d.Allowances.ReceiveRemote(region, uses, at, d.Clock())
}

// addRefunds adds reported refunds to the usage by account. The lock is held.
func (d *Dispatcher) addRefunds(uses map[string]allowance.Usage, refunds []rollup.AccountRefund) {
	for _, refund := range refunds {
		if name, ok := d.accountNames[refund.Account]; ok {
			use := uses[name]
			use.RefundedTotal = float64(max(0, refund.Units))
			uses[name] = use
		}
	}
}

func decodeUsage(use rollup.AccountUsage) allowance.Usage {
	units := func(encoded int) float64 { return float64(max(0, encoded)) / usageScale }
	return allowance.Usage{AdmittedRate: units(use.AdmittedRate), SmoothedRate: units(use.SmoothedRate), RequestedRate: units(use.RequestedRate), WindowTotal: float64(max(0, use.WindowTotal))}
}

// usageScale is the number of steps per unit in reported rates. With whole units, an
// account counted in requests was missing from the reports where each gateway had less
// than one request a second.
const usageScale = 100

func encodeRate(unitsPerSecond float64) int { return int(math.Round(unitsPerSecond * usageScale)) }

// updateAccounts applies the accounts of a new catalog. The lock is held.
func (d *Dispatcher) updateAccounts() {
	clear(d.accountNames)
	for _, a := range d.catalog.Accounts() {
		d.accountNames[hashAccount(a.Name)] = a.Name
	}
	if d.Allowances != nil {
		d.Allowances.SetAccounts(d.catalog.Accounts(), d.Clock())
	}
}
