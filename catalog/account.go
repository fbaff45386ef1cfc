// This file defines client accounts: who a caller's key belongs to, and what that
// account may ask for.

package catalog

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
)

// Account is a client account. Callers show one of its keys.
type Account struct {
	Name      string      `json:"name"`
	Keys      []KeyDigest `json:"keys,omitempty"`
	Priority  *int        `json:"priority,omitempty"` // goes before the route's; nil: the route's holds
	Homes     []string    `json:"homes,omitempty"`    // regions its requests may run in; none: any
	Allowance Allowance   `json:"allowance"`
}

// KeyDigest stands for a key wherever hosts hold or compare one, so that none can be
// read from a host's memory, disk, log or answer. Keys are long and drawn at random:
// SHA-256 needs no salt.
type KeyDigest string

// DigestKey gives the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(key))
	return KeyDigest(base64.RawStdEncoding.EncodeToString(sum[:]))
}

// String hides most of the digest, so that what a log shows names no key.
func (k KeyDigest) String() string { return string(k)[:min(len(k), shownDigits)] + "…" }

const shownDigits = 6

// Unit says what an allowance is counted in.
type Unit string

// The units.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Allowance is what an account may ask for, over all hosts together.
type Allowance struct {
	Unit  Unit    `json:"unit"`
	Rate  float64 `json:"rate"`  // units a second; 0 for no limit
	Burst float64 `json:"burst"` // units on top of the rate
	Plain float64 `json:"plain"` // units of a request that tells no tokens
}

// Limited tells whether there is a limit.
func (a Allowance) Limited() bool { return a.Rate > 0 }

// Cost gives the units of a request of so many tokens; told tells whether the caller
// said how many.
func (a Allowance) Cost(tokens int, told bool) float64 {
	switch {
	case a.Unit != UnitTokens:
		return 1
	case !told:
		return a.Plain
	default:
		return float64(tokens)
	}
}

// Permits tells whether the account's requests may run in a region.
func (a Account) Permits(region string) bool {
	return len(a.Homes) == 0 || slices.Contains(a.Homes, region)
}

// PriorityOn gives the priority of the account's requests on a route.
func (a Account) PriorityOn(r Route) int {
	if a.Priority != nil {
		return *a.Priority
	}
	return r.Priority
}

// HasAccounts tells whether the catalog declares accounts: then requests need a key,
// but on public routes.
func (t *Table) HasAccounts() bool { return len(t.catalog.Accounts) > 0 }

// Accounts gives the catalog's accounts. They must not be changed.
func (t *Table) Accounts() []Account { return t.catalog.Accounts }

// AccountOf gives the account that holds a key.
func (t *Table) AccountOf(key KeyDigest) (Account, bool) {
	i, ok := t.keys[key]
	if !ok {
		return Account{}, false
	}
	return t.catalog.Accounts[i], true
}

// account checks one account.
func (k *checker) account(a Account) {
	if a.Name == "" {
		k.faultf("an account has no name")
	}
	if k.accounts[a.Name] {
		k.faultf("account %q is given twice", a.Name)
	}
	k.accounts[a.Name] = true
	for _, key := range a.Keys {
		other, taken := k.keys[key]
		switch {
		case key == emptyKey:
			k.faultf("account %q has an empty key", a.Name)
		case taken && other != a.Name:
			k.faultf("accounts %q and %q share a key", other, a.Name)
		}
		k.keys[key] = a.Name
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
