package declare

import (
	"encoding/json"
	"net"
	"sort"
	"time"

	"github.com/juju/errors"
)

// Kind names a type of object, as written in the "kind" field of a file.
type Kind string

// The kinds of object.
const (
	KindRegion     Kind = "Region"
	KindDataCentre Kind = "DataCentre"
	KindHost       Kind = "Host"
	KindService    Kind = "Service"
	KindEngine     Kind = "Engine"
	KindSelector   Kind = "Selector"
)

// Ref names one object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String gives the form that operators type, for example "Engine/review-1".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Object is one declaration. The set of implementations is sealed: Region,
// DataCentre, Host, Service, Engine and Selector.
type Object interface {
	// Ref gives the identity of the object within a Config.
	Ref() Ref
	sealed()
}

// Region is a place whose data centres are close to each other.
type Region struct {
	Name string `json:"name" yaml:"name"`
}

// DataCentre is one site of a region. Hosts of a data centre renew each
// other's leases when the data centre is cut off.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// HostState says what is known of a host's future.
type HostState string

// The states of a host. The empty string means HostServing.
const (
	HostServing HostState = "serving"
	HostLeaving HostState = "leaving"
	// HostGone is an operator's word that the host has ended and will not
	// come back under this name. It no longer counts in any majority.
	HostGone HostState = "gone"
)

// Host is an entry host: it runs one linenscaled process.
type Host struct {
	Name       string    `json:"name" yaml:"name"`
	DataCentre string    `json:"data_centre" yaml:"data_centre"`
	Callers    string    `json:"callers" yaml:"callers"`     // host:port for callers
	Handover   string    `json:"handover" yaml:"handover"`   // host:port for requests from other entry hosts
	Control    string    `json:"control" yaml:"control"`     // host:port for net/rpc
	Operators  string    `json:"operators" yaml:"operators"` // host:port for operators and metrics
	WideArea   string    `json:"wide_area,omitempty" yaml:"wide_area,omitempty"`
	State      HostState `json:"state,omitempty" yaml:"state,omitempty"`
}

// ServiceType says which interface a service's engines speak.
type ServiceType string

// The types of service.
const (
	// ServiceModel engines speak the OpenAI interface.
	ServiceModel ServiceType = "model"
	// ServicePlain back ends take any HTTP request.
	ServicePlain ServiceType = "plain"
)

// Policy weighs what a service's operators care about. Weights are relative;
// a zero Policy weighs tail latency only.
type Policy struct {
	Tail       float64       `json:"tail,omitempty" yaml:"tail,omitempty"`
	Cost       float64       `json:"cost,omitempty" yaml:"cost,omitempty"`
	Away       float64       `json:"away,omitempty" yaml:"away,omitempty"`
	FirstToken time.Duration `json:"first_token,omitempty" yaml:"first_token,omitempty"` // target
}

// Service is something that callers can ask for.
type Service struct {
	Name     string        `json:"name" yaml:"name"`
	Type     ServiceType   `json:"type" yaml:"type"`
	Models   []string      `json:"models,omitempty" yaml:"models,omitempty"`
	Policy   Policy        `json:"policy,omitempty" yaml:"policy,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"` // longest time for one request
}

// EngineState is the operator's wish for an engine.
type EngineState string

// The states of an engine. The empty string means EngineServing.
const (
	EngineServing EngineState = "serving"
	// EngineStopping engines finish what they have and get nothing new.
	EngineStopping EngineState = "stopping"
)

// Engine is a back end: a model engine, or one server of a plain service.
type Engine struct {
	Name       string      `json:"name" yaml:"name"`
	Service    string      `json:"service" yaml:"service"`
	DataCentre string      `json:"data_centre" yaml:"data_centre"`
	Address    string      `json:"address" yaml:"address"` // host:port
	Slots      int         `json:"slots" yaml:"slots"`     // requests it runs side by side
	Cost       float64     `json:"cost,omitempty" yaml:"cost,omitempty"`
	Labels     Labels      `json:"labels,omitempty" yaml:"labels,omitempty"`
	State      EngineState `json:"state,omitempty" yaml:"state,omitempty"`
	// ChecksFence is true for an engine that refuses orders with an old fence.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
}

// Selector says where requests may go. It applies to the requests of Service
// that Match selects; those may go only to engines that Allow selects. Where
// several selectors apply, all of them must allow the engine. A request that
// no selector applies to is not permitted anywhere.
type Selector struct {
	Name    string `json:"name" yaml:"name"`
	Service string `json:"service" yaml:"service"`
	Match   string `json:"match,omitempty" yaml:"match,omitempty"` // over request labels: home, account, class
	Allow   string `json:"allow" yaml:"allow"`                     // over region, data_centre and engine labels
}

// Ref implements Object.
func (r Region) Ref() Ref { return Ref{KindRegion, r.Name} }

// Ref implements Object.
func (d DataCentre) Ref() Ref { return Ref{KindDataCentre, d.Name} }

// Ref implements Object.
func (h Host) Ref() Ref { return Ref{KindHost, h.Name} }

// Ref implements Object.
func (s Service) Ref() Ref { return Ref{KindService, s.Name} }

// Ref implements Object.
func (e Engine) Ref() Ref { return Ref{KindEngine, e.Name} }

// Ref implements Object.
func (s Selector) Ref() Ref { return Ref{KindSelector, s.Name} }

func (Region) sealed()     {}
func (DataCentre) sealed() {}
func (Host) sealed()       {}
func (Service) sealed()    {}
func (Engine) sealed()     {}
func (Selector) sealed()   {}

// WithLabel gives the engine with one label set.
func (e Engine) WithLabel(key, value string) Engine {
	e.Labels = e.Labels.With(key, value)
	return e
}

// WithState gives the engine with another wished state.
func (e Engine) WithState(state EngineState) Engine {
	e.State = state
	return e
}

// Label is one key and its value.
type Label struct {
	Key, Value string
}

// Labels is an immutable set of labels, sorted by key. The zero value is the
// empty set. It implements the Labels interface of
// k8s.io/apimachinery/pkg/labels.
type Labels struct {
	pairs []Label
}

// NewLabels copies the pairs into a set; of two pairs with one key the last
// stands.
func NewLabels(pairs ...Label) Labels {
	var l Labels
	for _, p := range pairs {
		l = l.With(p.Key, p.Value)
	}
	return l
}

// With gives the set with one label added or replaced.
func (l Labels) With(key, value string) Labels {
	at := sort.Search(len(l.pairs), func(i int) bool { return l.pairs[i].Key >= key })
	pairs := make([]Label, 0, len(l.pairs)+1)
	pairs = append(pairs, l.pairs[:at]...)
	pairs = append(pairs, Label{key, value})
	if at < len(l.pairs) && l.pairs[at].Key == key {
		at++
	}
	return Labels{append(pairs, l.pairs[at:]...)}
}

// Lookup gives the value of a label and whether the set has it.
func (l Labels) Lookup(key string) (string, bool) {
	for _, p := range l.pairs {
		if p.Key == key {
			return p.Value, true
		}
	}
	return "", false
}

// Has tells whether the set has the label.
func (l Labels) Has(key string) bool {
	_, ok := l.Lookup(key)
	return ok
}

// Get gives the value of a label, or "" where the set lacks it.
func (l Labels) Get(key string) string {
	value, _ := l.Lookup(key)
	return value
}

// All gives a copy of the pairs in order of their keys.
func (l Labels) All() []Label { return append([]Label(nil), l.pairs...) }

// MarshalJSON writes the set as one JSON object.
func (l Labels) MarshalJSON() ([]byte, error) {
	m := make(map[string]string, len(l.pairs))
	for _, p := range l.pairs {
		m[p.Key] = p.Value
	}
	return json.Marshal(m)
}

// UnmarshalJSON reads the set from one JSON object.
func (l *Labels) UnmarshalJSON(data []byte) error {
	var m map[string]string
	if err := json.Unmarshal(data, &m); err != nil {
		return errors.Annotate(err, "labels")
	}
	*l = labelsOf(m)
	return nil
}

// MarshalYAML writes the set as one mapping.
func (l Labels) MarshalYAML() (any, error) {
	m := make(map[string]string, len(l.pairs))
	for _, p := range l.pairs {
		m[p.Key] = p.Value
	}
	return m, nil
}

// UnmarshalYAML reads the set from one mapping.
func (l *Labels) UnmarshalYAML(unmarshal func(any) error) error {
	var m map[string]string
	if err := unmarshal(&m); err != nil {
		return err
	}
	*l = labelsOf(m)
	return nil
}

func labelsOf(m map[string]string) Labels {
	var l Labels
	for key, value := range m {
		l = l.With(key, value)
	}
	return l
}

// Reach gives the address by which hosts of other regions reach one of the
// host's own addresses.
func (h Host) Reach(address string) string {
	_, port, err := net.SplitHostPort(address)
	if h.WideArea == "" || err != nil {
		return address
	}
	return net.JoinHostPort(h.WideArea, port)
}
