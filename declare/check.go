package declare

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"

	"k8s.io/apimachinery/pkg/labels"
	"k8s.io/apimachinery/pkg/selection"
)

// Keys of the labels that the system itself gives to engines and requests.
const (
	KeyRegion     = "region"
	KeyDataCentre = "data_centre"
	KeyHome       = "home"
	KeyAccount    = "account"
	KeyClass      = "class"
)

// maxSlots bounds Engine.Slots; a larger number is a slip of the pen.
const maxSlots = 4096

// Fault is one thing that is wrong with one object.
type Fault struct {
	Ref     Ref    `json:"ref"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String gives "Kind/name: field: message".
func (f Fault) String() string { return fmt.Sprintf("%s: %s: %s", f.Ref, f.Field, f.Message) }

// FaultsError lists everything that is wrong with a configuration.
type FaultsError struct {
	Faults []Fault
}

// Error joins the faults with "; ".
func (e *FaultsError) Error() string {
	parts := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		parts[i] = f.String()
	}
	return strings.Join(parts, "; ")
}

// checker collects the faults of one configuration.
type checker struct {
	config  Config
	regions map[string]bool
	ref     Ref
	faults  []Fault
}

func check(c Config) []Fault {
	ch := &checker{config: c, regions: map[string]bool{}}
	for _, region := range Each[Region](c) {
		ch.regions[region.Name] = true
	}
	for _, object := range c.Objects() {
		ch.ref = object.Ref()
		ch.object(object)
	}
	ch.reachable()
	sort.SliceStable(ch.faults, func(i, j int) bool { return ch.faults[i].Ref.String() < ch.faults[j].Ref.String() })
	return ch.faults
}

func (ch *checker) fault(field, format string, args ...any) {
	ch.faults = append(ch.faults, Fault{ch.ref, field, fmt.Sprintf(format, args...)})
}

func (ch *checker) object(object Object) {
	if object.Ref().Name == "" || strings.ContainsAny(object.Ref().Name, " /\t\n") {
		ch.fault("name", "must be one word without slashes, is %q", object.Ref().Name)
	}
	switch o := object.(type) {
	case Region:
	case DataCentre:
		ch.exists("region", KindRegion, o.Region)
	case Host:
		ch.exists("data_centre", KindDataCentre, o.DataCentre)
		ch.address("callers", o.Callers)
		ch.address("handover", o.Handover)
		ch.address("control", o.Control)
		ch.address("operators", o.Operators)
		ch.oneOf("state", string(o.State), "", string(HostServing), string(HostLeaving), string(HostGone))
	case Service:
		ch.oneOf("type", string(o.Type), string(ServiceModel), string(ServicePlain))
		ch.notNegative("policy", o.Policy.Tail, o.Policy.Cost, o.Policy.Away)
	case Engine:
		ch.engine(o)
	case Selector:
		ch.selector(o)
	}
}

func (ch *checker) engine(e Engine) {
	ch.exists("service", KindService, e.Service)
	ch.exists("data_centre", KindDataCentre, e.DataCentre)
	ch.address("address", e.Address)
	ch.oneOf("state", string(e.State), "", string(EngineServing), string(EngineStopping))
	if e.Slots < 1 || e.Slots > maxSlots {
		ch.fault("slots", "must be 1 to %d, is %d", maxSlots, e.Slots)
	}
	for _, key := range []string{KeyRegion, KeyDataCentre} {
		if e.Labels.Has(key) {
			ch.fault("labels", "%q is set by the system and can't be declared", key)
		}
	}
}

func (ch *checker) selector(s Selector) {
	ch.exists("service", KindService, s.Service)
	if match, err := labels.Parse(s.Match); err != nil {
		ch.fault("match", "%v", err)
	} else {
		ch.named("match", match, KeyHome, ch.regions)
	}
	allow, err := labels.Parse(s.Allow)
	if err != nil {
		ch.fault("allow", "%v", err)
		return
	}
	ch.named("allow", allow, KeyRegion, ch.regions)
}

// named checks that every value that the expression gives for key is known.
func (ch *checker) named(field string, expression labels.Selector, key string, known map[string]bool) {
	requirements, _ := expression.Requirements()
	for _, r := range requirements {
		if r.Key() != key || r.Operator() == selection.Exists || r.Operator() == selection.DoesNotExist {
			continue
		}
		for _, value := range r.Values().List() {
			if !known[value] {
				ch.fault(field, "%s %q is not declared", key, value)
			}
		}
	}
}

// reachable checks that no selector leaves its service without any region.
func (ch *checker) reachable() {
	for _, s := range Each[Selector](ch.config) {
		ch.ref = s.Ref()
		allow, err := labels.Parse(s.Allow)
		if err != nil {
			continue // already a fault
		}
		place := onlyKeys(allow, KeyRegion)
		if !ch.anyRegion(place) {
			ch.fault("allow", "%q leaves service %q no region", s.Allow, s.Service)
		}
	}
}

func (ch *checker) anyRegion(place labels.Selector) bool {
	for region := range ch.regions {
		if place.Matches(NewLabels(Label{KeyRegion, region})) {
			return true
		}
	}
	return len(ch.regions) == 0
}

func onlyKeys(s labels.Selector, keys ...string) labels.Selector {
	out := labels.NewSelector()
	requirements, _ := s.Requirements()
	for _, r := range requirements {
		for _, key := range keys {
			if r.Key() == key {
				out = out.Add(r)
			}
		}
	}
	return out
}

func (ch *checker) exists(field string, kind Kind, name string) {
	if _, ok := ch.config.Get(Ref{kind, name}); !ok {
		ch.fault(field, "%s %q is not declared", kind, name)
	}
}

func (ch *checker) address(field, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		ch.fault(field, "must be an IP address and a port, is %q", value)
	}
}

func (ch *checker) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	ch.fault(field, "must be one of %q, is %q", allowed, value)
}

func (ch *checker) notNegative(field string, values ...float64) {
	for _, value := range values {
		if value < 0 {
			ch.fault(field, "must not be negative, is %v", value)
		}
	}
}
