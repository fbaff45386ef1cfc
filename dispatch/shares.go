// This file defines the fair shares of client accounts in a region's engines: it supplies
// package fairshare with what accounts ask for and get.

package dispatch

import (
	"time"

	"go.uber.org/zap"

	"github.com/linenscale/linenscale/fairshare"
	"github.com/linenscale/linenscale/rollup"
)

// work returns the work that a request asks for: the tokens that an engine holds for it, or 1
// without a model.
func (r Request) work() float64 { return float64(max(1, r.Prompt.InputTokens+r.Prompt.OutputTokens)) }

// recordShare records whether a request of an account was admitted. Accounts share with those
// of the same service and priority. The lock is held.
func (d *Dispatcher) recordShare(req Request, admitted bool, now time.Time) {
	if req.Account == "" || !req.isRanked() {
		return
	}
	kind := req.kindHash()
	shares, ok := d.shares[kind]
	if !ok {
		shares = fairshare.New()
		d.shares[kind] = shares
	}
	shares.Record(hashAccount(req.Account), req.work(), admitted, now)
}

// standing returns how the use of the request's account compares with its share. The lock is
// held.
func (d *Dispatcher) standing(req Request) fairshare.Standing {
	if req.Account == "" {
		return fairshare.Below
	}
	shares, ok := d.shares[req.kindHash()]
	if !ok {
		return fairshare.Below
	}
	return shares.StandingOf(hashAccount(req.Account))
}

// ownShares returns what the accounts of this gateway's callers ask for and get.
func (d *Dispatcher) ownShares(now time.Time) []rollup.AccountWork {
	var out []rollup.AccountWork
	for kind, shares := range d.shares {
		for account, use := range shares.Own(now) {
			out = append(out, rollup.AccountWork{Kind: kind, Account: account, Asked: int(use.Asked), Admitted: int(use.Admitted)})
		}
	}
	return out
}

// updateShares computes the shares anew with what the region's other gateways report. The lock
// is held.
func (d *Dispatcher) updateShares(reported map[rollup.AccountKey]rollup.AccountWork) {
	now := d.Clock()
	others := make(map[uint32]map[uint32]fairshare.Use)
	for key, work := range reported {
		if others[key.Kind] == nil {
			others[key.Kind] = make(map[uint32]fairshare.Use)
		}
		others[key.Kind][key.Account] = fairshare.Use{Asked: float64(work.Asked), Admitted: float64(work.Admitted)}
	}
	for kind, shares := range d.shares {
		if shares.Update(others[kind], now); shares.IsIdle() {
			delete(d.shares, kind)
		}
	}
}

// logShares logs the accounts that have more than their shares. The lock is held.
func (d *Dispatcher) logShares() {
	for _, a := range d.catalog.Accounts() {
		account := hashAccount(a.Name)
		for _, shares := range d.shares {
			if shares.StandingOf(account) == fairshare.Beyond {
				d.Log.Info("account over its share", zap.String("account", a.Name), zap.Float64("work_per_second", shares.UseOf(account).Admitted), zap.Float64("share", shares.Level()))
			}
		}
	}
}
