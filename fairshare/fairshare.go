// Package fairshare decides which client accounts have more than their fair share of a
// service's room while it is short.
//
// The load it answers is a burst of one account, within its limit, that asks for more than the
// engines have free. Without shares whoever asks most often gets the most, and all accounts are
// rejected equally often. With them an account that asks for less than its share is served as
// if the others weren't there, and the burst delays its own account.
//
// Shares are max-min fair in the work admitted for each account by all gateways of a region:
// there is a level up to which every account may go, accounts that ask for less leave the rest
// to others, and an account beyond the level is put after the others until it is below it
// again. Package admit shares the slots of a queue that waiters stand in; gateways that send
// requests to the engines' own queues have none, so that only rates are left to compare.
package fairshare

import (
	"math"
	"slices"
	"time"
)

const (
	// rateTime is the time constant of the rates: shares hold over about a second, which is
	// as long as callers wait for an answer to begin.
	rateTime = time.Second
	// shortage is the share of the work asked for that isn't admitted, from which room is
	// short. Single rejections aren't a shortage.
	shortage = 0.02
	// minWork is the work per second below which an account counts as not asking.
	minWork = 0.5
	// margin is the share of the level from which an account counts as having its share. It is
	// put after the others then, because its rate is known only after it has risen.
	margin = 0.85
)

// Use is what the callers of one account lately asked for and got, in work per second.
type Use struct{ Asked, Admitted float64 }

func (u Use) plus(o Use) Use { return Use{u.Asked + o.Asked, u.Admitted + o.Admitted} }

// Table holds the use of the accounts that compete for the same room. New makes one.
type Table struct {
	own   map[uint32]*rates // by the hash of the account's name
	level float64           // that no account may exceed
	use   map[uint32]Use    // of all gateways, as of the last update
}

type rates struct {
	Use
	at time.Time
}

// New returns an empty Table.
func New() *Table { return &Table{own: make(map[uint32]*rates), level: math.Inf(1)} }

// Record records that an account asked for work at this gateway, and whether it was admitted.
func (t *Table) Record(account uint32, work float64, admitted bool, now time.Time) {
	r, ok := t.own[account]
	if !ok {
		r = &rates{}
		t.own[account] = r
	}
	r.Use, r.at = r.now(now), now
	r.Asked += work / rateTime.Seconds()
	if admitted {
		r.Admitted += work / rateTime.Seconds()
	}
}

func (r *rates) now(now time.Time) Use {
	decay := math.Exp(-float64(now.Sub(r.at)) / float64(rateTime))
	return Use{r.Asked * decay, r.Admitted * decay}
}

// Own returns the use of the accounts at this gateway.
func (t *Table) Own(now time.Time) map[uint32]Use {
	out := make(map[uint32]Use, len(t.own))
	for account, r := range t.own {
		use := r.now(now)
		if use.Asked < minWork {
			delete(t.own, account)
			continue
		}
		out[account] = use
	}
	return out
}

// Update computes the shares from the use at this gateway and that at the others.
func (t *Table) Update(others map[uint32]Use, now time.Time) {
	t.use = t.Own(now)
	for account, use := range others {
		t.use[account] = t.use[account].plus(use)
	}
	t.level = level(t.use)
}

// level returns the admitted work per second up to which accounts share alike; infinite if room
// isn't short.
func level(uses map[uint32]Use) float64 {
	var total Use
	asked := make([]float64, 0, len(uses))
	for _, use := range uses {
		total = total.plus(use)
		asked = append(asked, use.Asked)
	}
	if len(uses) < 2 || total.Admitted >= (1-shortage)*total.Asked {
		return math.Inf(1)
	}
	slices.Sort(asked)
	left := total.Admitted
	for i, a := range asked {
		if share := left / float64(len(asked)-i); a > share {
			return share
		}
		left -= a
	}
	return math.Inf(1)
}

// Standing is how an account's use compares with its share.
type Standing uint8

// The standings.
const (
	Below   Standing = iota // has less than its share
	AtShare                 // has its share
	Beyond                  // has more
)

// StandingOf returns the standing of an account.
func (t *Table) StandingOf(account uint32) Standing {
	switch admitted := t.use[account].Admitted; {
	case admitted > t.level:
		return Beyond
	case admitted > margin*t.level:
		return AtShare
	default:
		return Below
	}
}

// UseOf returns the use of an account at all gateways, as of the last update.
func (t *Table) UseOf(account uint32) Use { return t.use[account] }

// Level returns the work per second that an account may have at most; infinite if room isn't
// short.
func (t *Table) Level() float64 { return t.level }

// IsIdle reports whether no account asks for anything.
func (t *Table) IsIdle() bool { return len(t.own) == 0 && len(t.use) == 0 }
