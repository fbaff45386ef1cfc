// This file defines the validation of a catalog.

package catalog

import (
	"fmt"
	"strings"
)

// InvalidError lists all faults of a catalog.
type InvalidError struct {
	Faults []string
}

// Error joins the faults in one line.
func (e *InvalidError) Error() string { return "invalid catalog: " + strings.Join(e.Faults, "; ") }

// Check validates the catalog. It returns an *InvalidError that lists every fault, or nil.
func (c Catalog) Check() error {
	k := checker{services: make(map[string]bool), routeByPattern: make(map[string]string), accounts: make(map[string]bool), accountByKey: make(map[KeyDigest]string)}
	if c.Version <= 0 {
		k.faultf("the version is %d, must be more than 0", c.Version)
	}
	for _, s := range c.Services {
		k.checkService(s)
	}
	for _, r := range c.Routes {
		k.checkRoute(r)
	}
	for _, a := range c.Accounts {
		k.checkAccount(a)
	}
	if len(k.faults) > 0 {
		return &InvalidError{k.faults}
	}
	return nil
}

// checker collects the faults of one catalog.
type checker struct {
	services       map[string]bool
	routeByPattern map[string]string // name of the route with that host and prefix
	accounts       map[string]bool
	accountByKey   map[KeyDigest]string // name of the account with that key
	faults         []string
}

func (k *checker) faultf(format string, args ...any) {
	k.faults = append(k.faults, fmt.Sprintf(format, args...))
}

func (k *checker) checkService(s Service) {
	if s.Name == "" {
		k.faultf("a service has no name")
	}
	if k.services[s.Name] {
		k.faultf("service %q is given twice", s.Name)
	}
	if s.MaxConnections < 0 || s.ColdRate < 0 || s.ColdTime < 0 {
		k.faultf("service %q has a negative limit", s.Name)
	}
	k.services[s.Name] = true
}

func (k *checker) checkRoute(r Route) {
	switch r.Kind {
	case KindSafe, KindUnsafe, KindStream:
	default:
		k.faultf("route %q is of unknown kind %q", r.Name, r.Kind)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		k.faultf("route %q has prefix %q, which must begin and end with a slash", r.Name, r.Prefix)
	}
	pattern := r.Host + r.Prefix
	if other, taken := k.routeByPattern[pattern]; taken {
		k.faultf("routes %q and %q share %s", other, r.Name, pattern)
	}
	k.routeByPattern[pattern] = r.Name
	if r.Timeout <= 0 {
		k.faultf("route %q has timeout %v, must be more than 0", r.Name, r.Timeout)
	}
	if r.Priority < 0 {
		k.faultf("route %q has priority %d, must be 0 or more", r.Name, r.Priority)
	}
	if r.Attempts < 1 {
		k.faultf("route %q allows %d attempts, must be 1 or more", r.Name, r.Attempts)
	}
	k.checkBackends(r)
}

func (k *checker) checkBackends(r Route) {
	total := 0
	for _, b := range r.Backends {
		if !k.services[b.Service] {
			k.faultf("route %q names unknown service %q", r.Name, b.Service)
		}
		if b.Weight < 0 {
			k.faultf("route %q gives service %q the weight %d", r.Name, b.Service, b.Weight)
		}
		total += b.Weight
	}
	if total <= 0 {
		k.faultf("the weights of route %q sum to %d", r.Name, total)
	}
}
