// Package permit decides whether a request may go to a region or an engine.
//
// A Rules value is compiled once from a configuration. A request is permitted
// at a place if some selector applies to it and every selector that applies
// allows the place. A Guard joins the rules in force with those of a change
// that is not yet decided: it permits only what both permit, which is what
// makes it safe to acknowledge a change before its outcome is known.
package permit

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/request"
)

// rule is one compiled selector. Allow stands in two parts: what can be judged
// from the place alone, and what needs the engine's own labels.
type rule struct {
	name   string
	match  labels.Selector
	place  labels.Selector
	engine labels.Selector
}

// Rules are the compiled selectors of one configuration, immutable. The zero
// value permits nothing.
type Rules struct {
	revision uint64
	services map[string][]rule
}

// New compiles the selectors of a configuration that has passed its checks.
func New(config declare.Config) (Rules, error) {
	rules := Rules{revision: config.Revision(), services: map[string][]rule{}}
	for _, s := range declare.Each[declare.Service](config) {
		rules.services[s.Name] = nil
	}
	for _, s := range declare.Each[declare.Selector](config) {
		compiled, err := compile(s)
		if err != nil {
			return Rules{}, errors.Annotatef(err, "selector %q", s.Name)
		}
		rules.services[s.Service] = append(rules.services[s.Service], compiled)
	}
	return rules, nil
}

func compile(s declare.Selector) (rule, error) {
	match, err := labels.Parse(s.Match)
	if err != nil {
		return rule{}, errors.Trace(err)
	}
	allow, err := labels.Parse(s.Allow)
	if err != nil {
		return rule{}, errors.Trace(err)
	}
	r := rule{name: s.Name, match: match, place: labels.NewSelector(), engine: labels.NewSelector()}
	requirements, _ := allow.Requirements()
	for _, requirement := range requirements {
		if requirement.Key() == declare.KeyRegion || requirement.Key() == declare.KeyDataCentre {
			r.place = r.place.Add(requirement)
			continue
		}
		r.engine = r.engine.Add(requirement)
	}
	return r, nil
}

// Place is where something may run.
type Place struct {
	Region     string
	DataCentre string
}

// Lookup implements labels.Labels.
func (p Place) Lookup(key string) (string, bool) {
	switch key {
	case declare.KeyRegion:
		return p.Region, true
	case declare.KeyDataCentre:
		return p.DataCentre, true
	default:
		return "", false
	}
}

// Has implements labels.Labels.
func (p Place) Has(key string) bool {
	_, ok := p.Lookup(key)
	return ok
}

// Get implements labels.Labels.
func (p Place) Get(key string) string {
	value, _ := p.Lookup(key)
	return value
}

var _ labels.Labels = Place{}

// facts presents a request's labels to a selector.
type facts struct{ r request.Request }

func (f facts) Lookup(key string) (string, bool) {
	switch key {
	case declare.KeyHome:
		return f.r.Home, true
	case declare.KeyAccount:
		return f.r.Account, true
	case declare.KeyClass:
		return string(f.r.Class), true
	default:
		return "", false
	}
}

func (f facts) Has(key string) bool {
	_, ok := f.Lookup(key)
	return ok
}

func (f facts) Get(key string) string {
	value, _ := f.Lookup(key)
	return value
}

// Revision gives the configuration that the rules were compiled from.
func (rs Rules) Revision() uint64 { return rs.revision }

// DeclaresService tells whether the service is declared.
func (rs Rules) DeclaresService(service string) bool {
	_, ok := rs.services[service]
	return ok
}

// Region tells whether any engine at the place could be permitted, judged
// before the body is read. The text says why not.
func (rs Rules) Region(r request.Request, place Place) (bool, string) {
	applied := false
	for _, rule := range rs.services[r.Service] {
		if !rule.match.Matches(facts{r}) {
			continue
		}
		applied = true
		if !rule.place.Matches(place) {
			return false, fmt.Sprintf("selector %q doesn't allow region %q, data centre %q", rule.name, place.Region, place.DataCentre)
		}
	}
	if !applied {
		return false, "no selector applies to the request"
	}
	return true, ""
}

// Engine tells whether the request may go to an engine with these labels at
// this place.
func (rs Rules) Engine(r request.Request, place Place, engine declare.Labels) bool {
	applied := false
	for _, rule := range rs.services[r.Service] {
		if !rule.match.Matches(facts{r}) {
			continue
		}
		applied = true
		if !rule.place.Matches(place) || !rule.engine.Matches(engine) {
			return false
		}
	}
	return applied
}

// Guard permits what the rules in force and, while a change is undecided, its
// rules both permit.
type Guard struct {
	Current Rules
	Pending *Rules // nil while no change is undecided
}

// Region is Rules.Region under both sets of rules.
func (g Guard) Region(r request.Request, place Place) (bool, string) {
	if ok, why := g.Current.Region(r, place); !ok {
		return false, why
	}
	if g.Pending == nil {
		return true, ""
	}
	if ok, why := g.Pending.Region(r, place); !ok {
		return false, why + " (change not yet decided)"
	}
	return true, ""
}

// Engine is Rules.Engine under both sets of rules.
func (g Guard) Engine(r request.Request, place Place, engine declare.Labels) bool {
	if !g.Current.Engine(r, place, engine) {
		return false
	}
	return g.Pending == nil || g.Pending.Engine(r, place, engine)
}

// Fingerprint tells whether two sets of rules permit the same requests of a
// service at a place. homes are the regions that members can have.
func (rs Rules) Fingerprint(service string, place Place, homes []string) uint64 {
	hash := xxhash.New()
	for _, account := range append(rs.accounts(service), "") {
		for _, home := range homes {
			for _, class := range []request.Class{request.ClassInteractive, request.ClassStandard, request.ClassBatch} {
				r := request.Request{Service: service, Home: home, Account: account, Class: class}
				if ok, _ := rs.Region(r, place); ok {
					_, _ = hash.WriteString(home + "\x00" + account + "\x00" + string(class) + "\x00" + rs.engineRules(r) + "\x01")
				}
			}
		}
	}
	return hash.Sum64()
}

// engineRules gives what the rules that apply ask of an engine's own labels.
func (rs Rules) engineRules(r request.Request) string {
	var parts []string
	for _, rule := range rs.services[r.Service] {
		if rule.match.Matches(facts{r}) {
			parts = append(parts, rule.engine.String())
		}
	}
	slices.Sort(parts)
	return strings.Join(slices.Compact(parts), "&")
}

// accounts lists the accounts that the selectors of a service name.
func (rs Rules) accounts(service string) []string {
	var out []string
	for _, rule := range rs.services[service] {
		requirements, _ := rule.match.Requirements()
		for _, requirement := range requirements {
			if requirement.Key() == declare.KeyAccount {
				out = append(out, requirement.Values().List()...)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}
