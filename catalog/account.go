// This file defines client accounts, their keys and their allowances.

package catalog

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
)

// Account is a client account. A caller authenticates with one of its keys.
type Account struct {
	Name      string      `json:"name"`
	Keys      []KeyDigest `json:"keys,omitempty"`
	Priority  *int        `json:"priority,omitempty"` // overrides the route's priority unless nil
	Homes     []string    `json:"homes,omitempty"`    // regions its requests may run in; empty means any
	Allowance Allowance   `json:"allowance"`
}

// KeyDigest is the SHA-256 digest of a key. Hosts store and compare digests only, so that
// no key can be read from a host's memory, disk, log or responses. Keys are long and
// random, so the digest needs no salt.
type KeyDigest string

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(base64.RawStdEncoding.EncodeToString(sum[:]))
}

// String returns the first characters of the digest only, so that logs don't identify a
// key.
func (k KeyDigest) String() string { return string(k)[:min(len(k), shownDigestLen)] + "…" }

const shownDigestLen = 6

// Unit is the unit in which an allowance is counted.
type Unit string

// The units.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Allowance is the rate limit of an account, summed over all hosts.
type Allowance struct {
	Unit  Unit    `json:"unit"`
	Rate  float64 `json:"rate"`  // units per second; 0 means no limit
	Burst float64 `json:"burst"` // units allowed in excess of the rate
	Plain float64 `json:"plain"` // units charged for a request without a token count
}

// Limited reports whether the allowance limits the account at all.
func (a Allowance) Limited() bool { return a.Rate > 0 }

// Cost returns the units that a request is charged. tokens counts only if hasTokens is
// true, that is, if the caller stated a token count.
func (a Allowance) Cost(tokens int, hasTokens bool) float64 {
	switch {
	case a.Unit != UnitTokens:
		return 1
	case !hasTokens:
		return a.Plain
	default:
		return float64(tokens)
	}
}

// PermitsRegion reports whether the account's requests may run in a region.
func (a Account) PermitsRegion(region string) bool {
	return len(a.Homes) == 0 || slices.Contains(a.Homes, region)
}

// PriorityOn returns the priority of the account's requests on a route: the account's own
// priority if it has one, else the route's.
func (a Account) PriorityOn(r Route) int {
	if a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// HasAccounts reports whether the catalog declares any accounts. If it does, requests need
// a key, except on public routes.
func (t *Table) HasAccounts() bool { return len(t.catalog.Accounts) > 0 }

// Accounts returns the catalog's accounts. The caller must not modify them.
func (t *Table) Accounts() []Account { return t.catalog.Accounts }

// AccountByKey returns the account that a key belongs to.
func (t *Table) AccountByKey(key KeyDigest) (Account, bool) {
	i, ok := t.accountIndexByKey[key]
	if !ok {
		return Account{}, false
	}
	return t.catalog.Accounts[i], true
}

func (k *checker) checkAccount(a Account) {
	if a.Name == "" {
		k.faultf("an account has no name")
	}
	if k.accounts[a.Name] {
		k.faultf("account %q is given twice", a.Name)
	}
	k.accounts[a.Name] = true
	for _, key := range a.Keys {
		other, taken := k.accountByKey[key]
		switch {
		case key == emptyKey:
			k.faultf("account %q has an empty key", a.Name)
		case taken && other != a.Name:
			k.faultf("accounts %q and %q share a key", other, a.Name)
		}
		k.accountByKey[key] = a.Name
	}
	if a.Priority != nil && *a.Priority < 0 {
		k.faultf("account %q has priority %d, must be 0 or more", a.Name, *a.Priority)
	}
	if a.Allowance.Rate < 0 || a.Allowance.Burst < 0 || a.Allowance.Plain < 0 {
		k.faultf("account %q has a negative allowance", a.Name)
	}
	switch a.Allowance.Unit {
	case "", UnitRequests, UnitTokens:
	default:
		k.faultf("account %q counts in unknown unit %q", a.Name, a.Allowance.Unit)
	}
}

var emptyKey = DigestKey("")
