package declare

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

// Keys of the labels that the system itself sets on engines and requests.
const (
	LabelRegion     = "region"
	LabelDataCentre = "data_centre"
	LabelHome       = "home"
	LabelAccount    = "account"
	LabelClass      = "class"
)

// maxSlots bounds Engine.Slots. A larger number is assumed to be a typing error.
const maxSlots = 4096

// Fault is one validation error of one object.
type Fault struct {
	Ref     Ref    `json:"ref"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns "Kind/name: field: message".
func (f Fault) String() string { return fmt.Sprintf("%s: %s: %s", f.Ref, f.Field, f.Message) }

// InvalidError lists all validation errors of a configuration.
type InvalidError struct {
	Faults []Fault
}

// Error joins the faults with "; ".
func (e *InvalidError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = f.String()
	}
	return strings.Join(parts, "; ")
}

// checker collects the faults of one configuration. current is the object being checked.
type checker struct {
	config  Config
	regions map[string]bool
	current Ref
	faults  []Fault
}

// validate returns the faults of a configuration, sorted by object.
func validate(c Config) []Fault {
	ch := &checker{config: c, regions: map[string]bool{}}
	for _, region := range ObjectsOf[Region](c) {
		ch.regions[region.Name] = true
	}
	for _, object := range c.Objects() {
		ch.current = object.Ref()
		ch.checkObject(object)
	}
	ch.checkReachability()
	sort.SliceStable(ch.faults, func(i, j int) bool { return ch.faults[i].Ref.String() < ch.faults[j].Ref.String() })
	return ch.faults
}

func (ch *checker) faultf(field, format string, args ...any) {
	ch.faults = append(ch.faults, Fault{ch.current, field, fmt.Sprintf(format, args...)})
}

func (ch *checker) checkObject(object Object) {
	if object.Ref().Name == "" || strings.ContainsAny(object.Ref().Name, " /\t\n") {
		ch.faultf("name", "must be one word without slashes, is %q", object.Ref().Name)
	}
	switch o := object.(type) {
	case Region:
	case DataCentre:
		ch.checkDeclared("region", KindRegion, o.Region)
	case Host:
		ch.checkDeclared("data_centre", KindDataCentre, o.DataCentre)
		ch.checkAddress("callers", o.Callers)
		ch.checkAddress("handover", o.Handover)
		ch.checkAddress("control", o.Control)
		ch.checkAddress("operators", o.Operators)
		ch.checkOneOf("state", string(o.State), "", string(HostServing), string(HostDraining), string(HostTerminated))
	case Service:
		ch.checkOneOf("type", string(o.Type), string(ServiceModel), string(ServicePlain))
		ch.checkNotNegative("policy", o.Policy.Tail, o.Policy.Cost, o.Policy.Away)
	case Engine:
		ch.checkEngine(o)
	case Selector:
		ch.checkSelector(o)
	}
}

func (ch *checker) checkEngine(e Engine) {
	ch.checkDeclared("service", KindService, e.Service)
	ch.checkDeclared("data_centre", KindDataCentre, e.DataCentre)
	ch.checkAddress("address", e.Address)
	ch.checkOneOf("state", string(e.State), "", string(EngineServing), string(EngineStopping))
	if e.Slots < 1 || e.Slots > maxSlots {
		ch.faultf("slots", "must be 1 to %d, is %d", maxSlots, e.Slots)
	}
	for _, key := range []string{LabelRegion, LabelDataCentre} {
		if e.Labels.Has(key) {
			ch.faultf("labels", "%q is set by the system and can't be declared", key)
		}
	}
}

func (ch *checker) checkSelector(s Selector) {
	ch.checkDeclared("service", KindService, s.Service)
	if match, err := labels.Parse(s.Match); err != nil {
		ch.faultf("match", "%v", err)
	} else {
		ch.checkValuesDeclared("match", match, LabelHome, ch.regions)
	}
	allow, err := labels.Parse(s.Allow)
	if err != nil {
		ch.faultf("allow", "%v", err)
		return
	}
	ch.checkValuesDeclared("allow", allow, LabelRegion, ch.regions)
}

// checkValuesDeclared checks that every value that the expression lists for key is in
// declared.
func (ch *checker) checkValuesDeclared(field string, expression labels.Selector, key string, declared map[string]bool) {
	requirements, _ := expression.Requirements()
	for _, r := range requirements {
		if r.Key() != key || r.Operator() == selection.Exists || r.Operator() == selection.DoesNotExist {
			continue
		}
		for _, value := range r.Values().List() {
			if !declared[value] {
				ch.faultf(field, "%s %q is not declared", key, value)
			}
		}
	}
}

// checkReachability checks that the Allow expression of every selector matches at least
// one region. It considers only the requirements on the region label.
func (ch *checker) checkReachability() {
	for _, s := range ObjectsOf[Selector](ch.config) {
		ch.current = s.Ref()
		allow, err := labels.Parse(s.Allow)
		if err != nil {
			continue // checkSelector has reported the fault
		}
		regionSelector := restrictToKeys(allow, LabelRegion)
		if !ch.matchesAnyRegion(regionSelector) {
			ch.faultf("allow", "%q leaves service %q no region", s.Allow, s.Service)
		}
	}
}

// matchesAnyRegion reports whether the selector matches a declared region. It is true as
// well if no regions are declared.
func (ch *checker) matchesAnyRegion(selector labels.Selector) bool {
	for region := range ch.regions {
		if selector.Matches(NewLabels(Label{LabelRegion, region})) {
			return true
		}
	}
	return len(ch.regions) == 0
}

// restrictToKeys returns the selector without its requirements on other keys.
func restrictToKeys(selector labels.Selector, keys ...string) labels.Selector {
	restricted := labels.NewSelector()
	requirements, _ := selector.Requirements()
	for _, r := range requirements {
		for _, key := range keys {
			if r.Key() == key {
				restricted = restricted.Add(r)
			}
		}
	}
	return restricted
}

func (ch *checker) checkDeclared(field string, kind Kind, name string) {
	if _, ok := ch.config.Get(Ref{kind, name}); !ok {
		ch.faultf(field, "%s %q is not declared", kind, name)
	}
}

func (ch *checker) checkAddress(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		ch.faultf(field, "must be an IP address and a port, is %q", value)
	}
}

func (ch *checker) checkOneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	ch.faultf(field, "must be one of %q, is %q", allowed, value)
}

func (ch *checker) checkNotNegative(field string, values ...float64) {
	for _, value := range values {
		if value < 0 {
			ch.faultf(field, "must not be negative, is %v", value)
		}
	}
}
