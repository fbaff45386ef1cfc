// Package permit decides whether a request may be sent to a region or an engine.
//
// Rules are compiled once from the selectors of a configuration. A request is
// permitted at a place if at least one selector of its service matches the request
// and every selector that matches it allows the place.
//
// A Guard combines the effective rules with those of a pending change and permits
// only what both permit. Hosts can therefore acknowledge a change before it is
// accepted or rejected: they comply with either outcome.
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

// rule is one compiled selector. The requirements of its Allow expression are split
// in two: placeSelector needs only the region and data centre, engineSelector needs
// the engine's own labels.
type rule struct {
	name           string
	match          labels.Selector
	placeSelector  labels.Selector
	engineSelector labels.Selector
}

// Rules holds the compiled selectors of one configuration. It is immutable. The
// zero value permits nothing.
type Rules struct {
	revision       uint64
	rulesByService map[string][]rule
}

// Compile compiles the selectors of a validated configuration. It returns an error that
// names the selector whose Match or Allow expression can't be parsed.
func Compile(config declare.Config) (Rules, error) {
	rules := Rules{revision: config.Revision(), rulesByService: map[string][]rule{}}
	for _, s := range declare.ObjectsOf[declare.Service](config) {
		rules.rulesByService[s.Name] = nil
	}
	for _, s := range declare.ObjectsOf[declare.Selector](config) {
		compiled, err := compileSelector(s)
		if err != nil {
			return Rules{}, errors.Annotatef(err, "selector %q", s.Name)
		}
		rules.rulesByService[s.Service] = append(rules.rulesByService[s.Service], compiled)
	}
	return rules, nil
}

func compileSelector(s declare.Selector) (rule, error) {
	match, err := labels.Parse(s.Match)
	if err != nil {
		return rule{}, errors.Trace(err)
	}
	allow, err := labels.Parse(s.Allow)
	if err != nil {
		return rule{}, errors.Trace(err)
	}
	compiled := rule{name: s.Name, match: match, placeSelector: labels.NewSelector(), engineSelector: labels.NewSelector()}
	requirements, _ := allow.Requirements()
	for _, requirement := range requirements {
		if requirement.Key() == declare.LabelRegion || requirement.Key() == declare.LabelDataCentre {
			compiled.placeSelector = compiled.placeSelector.Add(requirement)
			continue
		}
		compiled.engineSelector = compiled.engineSelector.Add(requirement)
	}
	return compiled, nil
}

// Place is the location of an engine or a host. As labels.Labels, it has the keys
// declare.LabelRegion and declare.LabelDataCentre.
type Place struct {
	Region     string
	DataCentre string
}

// Lookup implements labels.Labels.
func (p Place) Lookup(key string) (string, bool) {
	switch key {
	case declare.LabelRegion:
		return p.Region, true
	case declare.LabelDataCentre:
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

// requestLabels implements labels.Labels for the home region, account and class of a
// request.
type requestLabels struct{ req request.Request }

func (l requestLabels) Lookup(key string) (string, bool) {
	switch key {
	case declare.LabelHome:
		return l.req.HomeRegion, true
	case declare.LabelAccount:
		return l.req.Account, true
	case declare.LabelClass:
		return string(l.req.Class), true
	default:
		return "", false
	}
}

func (l requestLabels) Has(key string) bool {
	_, ok := l.Lookup(key)
	return ok
}

func (l requestLabels) Get(key string) string {
	value, _ := l.Lookup(key)
	return value
}

// Revision returns the revision of the configuration that the rules were compiled from.
func (rs Rules) Revision() uint64 { return rs.revision }

// DeclaresService reports whether the configuration declares the service, with or
// without selectors.
func (rs Rules) DeclaresService(service string) bool {
	_, ok := rs.rulesByService[service]
	return ok
}

// PermitsRegion reports whether an engine at the place could be permitted, regardless of
// the engine's own labels. It needs no request body. If the result is false, the
// string is the reason.
func (rs Rules) PermitsRegion(r request.Request, place Place) (bool, string) {
	applied := false
	for _, rule := range rs.rulesByService[r.Service] {
		if !rule.match.Matches(requestLabels{r}) {
			continue
		}
		applied = true
		if !rule.placeSelector.Matches(place) {
			return false, fmt.Sprintf("selector %q doesn't allow region %q, data centre %q", rule.name, place.Region, place.DataCentre)
		}
	}
	if !applied {
		return false, "no selector applies to the request"
	}
	return true, ""
}

// PermitsEngine reports whether the request may be sent to an engine with these labels at
// this place.
func (rs Rules) PermitsEngine(r request.Request, place Place, engineLabels declare.Labels) bool {
	applied := false
	for _, rule := range rs.rulesByService[r.Service] {
		if !rule.match.Matches(requestLabels{r}) {
			continue
		}
		applied = true
		if !rule.placeSelector.Matches(place) || !rule.engineSelector.Matches(engineLabels) {
			return false
		}
	}
	return applied
}

// Guard permits a request if the effective rules permit it and, while a change is
// pending, the rules after that change permit it too.
type Guard struct {
	Effective Rules
	Pending   *Rules // nil if no change is pending
}

// PermitsRegion reports whether both sets of rules permit the place, as Rules does for one.
func (g Guard) PermitsRegion(r request.Request, place Place) (bool, string) {
	if ok, reason := g.Effective.PermitsRegion(r, place); !ok {
		return false, reason
	}
	if g.Pending == nil {
		return true, ""
	}
	if ok, reason := g.Pending.PermitsRegion(r, place); !ok {
		return false, reason + " (change not yet decided)"
	}
	return true, ""
}

// PermitsEngine reports whether both sets of rules permit the engine, as Rules does for one.
func (g Guard) PermitsEngine(r request.Request, place Place, engineLabels declare.Labels) bool {
	if !g.Effective.PermitsEngine(r, place, engineLabels) {
		return false
	}
	return g.Pending == nil || g.Pending.PermitsEngine(r, place, engineLabels)
}

// Fingerprint hashes which requests of a service the rules permit at a place. It
// serves to detect whether two sets of rules differ there. The hash covers every
// combination of a home region in homes (those that members can have), a class, and
// an account that a selector of these rules names or the empty one, which stands for
// all accounts that they don't name.
func (rs Rules) Fingerprint(service string, place Place, homes []string) uint64 {
	hash := xxhash.New()
	for _, account := range append(rs.namedAccounts(service), "") {
		for _, home := range homes {
			for _, class := range []request.Class{request.ClassInteractive, request.ClassStandard, request.ClassBatch} {
				r := request.Request{Service: service, HomeRegion: home, Account: account, Class: class}
				if ok, _ := rs.PermitsRegion(r, place); ok {
					_, _ = hash.WriteString(home + "\x00" + account + "\x00" + string(class) + "\x00" + rs.engineRequirements(r) + "\x01")
				}
			}
		}
	}
	return hash.Sum64()
}

// engineRequirements returns, in a canonical form, what the selectors that match the
// request require of an engine's own labels.
func (rs Rules) engineRequirements(r request.Request) string {
	var selectors []string
	for _, rule := range rs.rulesByService[r.Service] {
		if rule.match.Matches(requestLabels{r}) {
			selectors = append(selectors, rule.engineSelector.String())
		}
	}
	slices.Sort(selectors)
	return strings.Join(slices.Compact(selectors), "&")
}

// namedAccounts returns the accounts that the selectors of a service mention, sorted.
func (rs Rules) namedAccounts(service string) []string {
	var accounts []string
	for _, rule := range rs.rulesByService[service] {
		requirements, _ := rule.match.Requirements()
		for _, requirement := range requirements {
			if requirement.Key() == declare.LabelAccount {
				accounts = append(accounts, requirement.Values().List()...)
			}
		}
	}
	slices.Sort(accounts)
	return slices.Compact(accounts)
}
