// This file defines the stage that authenticates a request's client account and charges
// its allowance. It runs before the body is read.

package ingress

import (
	"time"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/request"
)

// KeyLease bounds how long a revoked API key may still be accepted. Gateways learn of a
// revocation from the ledger, so a gateway serves keys only under a lease: while it has
// confirmed recently enough that its catalog is up to date.
type KeyLease struct {
	// RevokedWithin is the bound: this long after the catalog that revokes a key was
	// accepted, no host may run a request that uses the key. 0 means no bound.
	RevokedWithin time.Duration
	// FreshAsOf returns the latest time, on the clock Steady, as of which the catalog at
	// index contains every accepted change; known is false if that was never confirmed.
	FreshAsOf func(index uint64) (at time.Duration, known bool)
	// Steady reads a clock that keeps counting while the host is suspended.
	Steady func() time.Duration
}

// keyLeaseFraction is the fraction of RevokedWithin for which a gateway serves keys after
// its catalog was last confirmed. The rest allows for clock drift between hosts. A host
// need not serve keys once it has been unable to reach the control hosts for 0.6 of the
// bound. With 0.95 it serves them for 4.7 s of a bound of 5 s, which is longer than the
// loss of a leader (2.3 s) plus the usual interval between confirmations (1.2 s).
const keyLeaseFraction = 0.95

// keyLeaseRetryAfter is the Retry-After of a gateway without a key lease. Network
// partitions last for seconds, and other gateways may hold a lease.
const keyLeaseRetryAfter = 500 * time.Millisecond

// checkFreshness reports whether the catalog at index is fresh enough to accept keys, and
// how long ago it was last confirmed. The request has been received before the call, so
// it was sent while the lease was valid, however long an engine takes to run it.
func (k KeyLease) checkFreshness(index uint64) (age time.Duration, ok bool) {
	if k.RevokedWithin <= 0 {
		return 0, true
	}
	now := k.Steady()
	freshAsOf, known := k.FreshAsOf(index)
	if !known {
		return unknownAge, false
	}
	return now - freshAsOf, float64(now-freshAsOf) < keyLeaseFraction*float64(k.RevokedWithin)
}

// unknownAge stands for the age of a catalog that was never confirmed.
const unknownAge = -1

func describeAge(age time.Duration) string {
	if age == unknownAge {
		return "no word has come yet"
	}
	return "the newest word is " + age.Round(time.Millisecond).String() + " old"
}

// checkAccount finds the client account by the request's key, checks that the request may
// run in some region, and charges the account's allowance. For a request that was handed
// over, this gateway authenticates the key again, against its own catalog, but only the
// entry host charges the allowance. Requests of public routes need no key and aren't
// charged.
func (s *Server) checkAccount(x *exchange) error {
	if !x.catalog.table.HasAccounts() {
		return nil
	}
	age, fresh := s.KeyLease.checkFreshness(x.catalog.index)
	x.account, x.keyValid = x.catalog.table.AccountByKey(x.meta.Key)
	x.keyValid = x.keyValid && fresh
	if x.route.Public {
		if !x.keyValid {
			x.account = catalog.Account{}
		}
		return nil
	}
	if !fresh {
		return &request.NotRun{Reason: request.ReasonNoLease, Message: "it isn't sure which keys hold: " + describeAge(age), RetryAfter: keyLeaseRetryAfter}
	}
	if !x.keyValid {
		return &request.NotRun{Reason: request.ReasonUnknownKey, Message: "no account holds the key"}
	}
	if x.permittedNowhere(s.Regions) {
		return &request.NotRun{Reason: request.ReasonNotPermitted, Message: "the account and the route have no region in common", RetryAfter: noRegionRetryAfter}
	}
	return s.chargeAllowance(x)
}

// noRegionRetryAfter is the Retry-After of a request that no region may run. Only a change
// of the operators' declarations helps, so an early retry is pointless.
const noRegionRetryAfter = 5 * time.Second

// permittedNowhere reports whether none of regions may run the request.
func (x *exchange) permittedNowhere(regions []string) bool {
	for _, region := range regions {
		if x.mayRunIn(region) {
			return false
		}
	}
	return len(regions) > 0
}

// chargeAllowance charges the request to the account's allowance: its rate limit, stated
// as a rate, a burst and a window. A request is charged once, however often it is sent to
// engines.
func (s *Server) chargeAllowance(x *exchange) error {
	if x.handedOver || s.Allowances == nil {
		return nil
	}
	cost := x.account.Allowance.Cost(x.meta.Tokens, x.meta.Tokens != TokensUnknown)
	var err error
	x.charged, err = s.Allowances.Admit(x.account.Name, cost, s.Clock())
	return err
}

// refundAllowance returns what was charged for a request that no engine has run.
func (x *exchange) refundAllowance(rejection request.Refusal, now time.Time) {
	if _, notRun := rejection.(*request.NotRun); notRun {
		x.charged.Refund(now)
	}
}
