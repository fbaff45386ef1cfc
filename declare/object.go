package declare

import (
	"encoding/json"
	"net"
	"sort"
	"time"

	"github.com/juju/errors"
)

// Kind is a type of object, as written in the "kind" field of a declaration.
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

// Ref identifies one object of a configuration.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns the form that operators type, for example "Engine/review-1".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Object is one declaration. The set of implementations is sealed: Region,
// DataCentre, Host, Service, Engine and Selector.
type Object interface {
	// Ref returns the identity of the object within a Config.
	Ref() Ref
	sealed()
}

// Region is a group of data centres with low network latency between them.
type Region struct {
	Name string `json:"name" yaml:"name"`
}

// DataCentre is one site of a region. When a data centre is partitioned from the others,
// its hosts renew each other's leases.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// HostState is the state that operators declare for a host.
type HostState string

// The states of a host. The empty string means HostServing.
const (
	HostServing HostState = "serving"
	// HostDraining means that the host is draining.
	HostDraining HostState = "leaving"
	// HostTerminated is an operator's assurance that the host has terminated and will not
	// return under this name. The host no longer counts in any majority.
	HostTerminated HostState = "gone"
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

// ServiceType is the interface that a service's engines implement.
type ServiceType string

// The types of service.
const (
	// ServiceModel engines implement the OpenAI API.
	ServiceModel ServiceType = "model"
	// ServicePlain servers accept any HTTP request.
	ServicePlain ServiceType = "plain"
)

// Policy holds the relative weights of the objectives in routing a service's requests:
// tail latency, cost, and Away, the share of requests served in remote regions. The zero
// Policy considers tail latency only.
type Policy struct {
	Tail       float64       `json:"tail,omitempty" yaml:"tail,omitempty"`
	Cost       float64       `json:"cost,omitempty" yaml:"cost,omitempty"`
	Away       float64       `json:"away,omitempty" yaml:"away,omitempty"`
	FirstToken time.Duration `json:"first_token,omitempty" yaml:"first_token,omitempty"` // target time to first token
}

// Service is a set of interchangeable engines that callers address by name, or by one of
// Models.
type Service struct {
	Name     string        `json:"name" yaml:"name"`
	Type     ServiceType   `json:"type" yaml:"type"`
	Models   []string      `json:"models,omitempty" yaml:"models,omitempty"`
	Policy   Policy        `json:"policy,omitempty" yaml:"policy,omitempty"`
	Deadline time.Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"` // maximum duration of a request
}

// EngineState is the state that operators declare for an engine.
type EngineState string

// The states of an engine. The empty string means EngineServing.
const (
	EngineServing EngineState = "serving"
	// EngineStopping engines finish their requests in flight and receive no new ones.
	EngineStopping EngineState = "stopping"
)

// Engine is a backend server: a model engine, or one server of a plain service.
type Engine struct {
	Name       string      `json:"name" yaml:"name"`
	Service    string      `json:"service" yaml:"service"`
	DataCentre string      `json:"data_centre" yaml:"data_centre"`
	Address    string      `json:"address" yaml:"address"` // host:port
	Slots      int         `json:"slots" yaml:"slots"`     // maximum concurrent requests
	Cost       float64     `json:"cost,omitempty" yaml:"cost,omitempty"`
	Labels     Labels      `json:"labels,omitempty" yaml:"labels,omitempty"`
	State      EngineState `json:"state,omitempty" yaml:"state,omitempty"`
	// ChecksFence is true for an engine that rejects orders with an outdated fencing token.
	ChecksFence bool `json:"checks_fence,omitempty" yaml:"checks_fence,omitempty"`
}

// Selector restricts the engines that requests may run on. It applies to the requests of
// Service whose labels match Match, and permits the engines whose labels match Allow. If
// several selectors apply to a request, all of them must permit the engine. A request to
// which no selector applies is not permitted on any engine.
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

// WithLabel returns a copy of the engine with one label added or replaced.
func (e Engine) WithLabel(key, value string) Engine {
	e.Labels = e.Labels.With(key, value)
	return e
}

// WithState returns a copy of the engine with another declared state.
func (e Engine) WithState(state EngineState) Engine {
	e.State = state
	return e
}

// Label is a key-value pair of a set of Labels.
type Label struct {
	Key, Value string
}

// Labels is an immutable set of labels, sorted by key. The zero value is the
// empty set. It implements the Labels interface of
// k8s.io/apimachinery/pkg/labels.
type Labels struct {
	pairs []Label
}

// NewLabels returns a set of the pairs. If a key occurs more than once, its last value
// wins.
func NewLabels(pairs ...Label) Labels {
	var l Labels
	for _, p := range pairs {
		l = l.With(p.Key, p.Value)
	}
	return l
}

// With returns a copy of the set with one label added or replaced.
func (l Labels) With(key, value string) Labels {
	index := sort.Search(len(l.pairs), func(i int) bool { return l.pairs[i].Key >= key })
	pairs := make([]Label, 0, len(l.pairs)+1)
	pairs = append(pairs, l.pairs[:index]...)
	pairs = append(pairs, Label{key, value})
	if index < len(l.pairs) && l.pairs[index].Key == key {
		index++
	}
	return Labels{append(pairs, l.pairs[index:]...)}
}

// Lookup returns the value of a label, and whether the set contains it.
func (l Labels) Lookup(key string) (string, bool) {
	for _, p := range l.pairs {
		if p.Key == key {
			return p.Value, true
		}
	}
	return "", false
}

// Has reports whether the set contains the label.
func (l Labels) Has(key string) bool {
	_, ok := l.Lookup(key)
	return ok
}

// Get returns the value of a label, or "" if the set doesn't contain it.
func (l Labels) Get(key string) string {
	value, _ := l.Lookup(key)
	return value
}

// All returns a copy of the pairs, sorted by key.
func (l Labels) All() []Label { return append([]Label(nil), l.pairs...) }

// MarshalJSON encodes the set as one JSON object.
func (l Labels) MarshalJSON() ([]byte, error) {
	m := make(map[string]string, len(l.pairs))
	for _, p := range l.pairs {
		m[p.Key] = p.Value
	}
	return json.Marshal(m)
}

// UnmarshalJSON decodes the set from one JSON object.
func (l *Labels) UnmarshalJSON(data []byte) error {
	var m map[string]string
	if err := json.Unmarshal(data, &m); err != nil {
		return errors.Annotate(err, "labels")
	}
	*l = labelsFromMap(m)
	return nil
}

// MarshalYAML encodes the set as one YAML mapping.
func (l Labels) MarshalYAML() (any, error) {
	m := make(map[string]string, len(l.pairs))
	for _, p := range l.pairs {
		m[p.Key] = p.Value
	}
	return m, nil
}

// UnmarshalYAML decodes the set from one YAML mapping.
func (l *Labels) UnmarshalYAML(unmarshal func(any) error) error {
	var m map[string]string
	if err := unmarshal(&m); err != nil {
		return err
	}
	*l = labelsFromMap(m)
	return nil
}

func labelsFromMap(m map[string]string) Labels {
	var l Labels
	for key, value := range m {
		l = l.With(key, value)
	}
	return l
}

// AddressFromOtherRegion returns the address at which hosts of other regions connect to
// address, which is one of the host's own: WideArea with the same port if WideArea is set,
// else address.
func (h Host) AddressFromOtherRegion(address string) string {
	_, port, err := net.SplitHostPort(address)
	if h.WideArea == "" || err != nil {
		return address
	}
	return net.JoinHostPort(h.WideArea, port)
}
