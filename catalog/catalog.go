package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may be run.
type Kind string

// The kinds of route.
const (
	KindSafe   Kind = "safe"   // may be run any number of times
	KindUnsafe Kind = "unsafe" // at most once for each request
	KindStream Kind = "stream" // an event stream; repeatable only where Resumable
)

// Catalog is everything that an operator declares. The zero value is the
// catalog of a system to which nothing has been declared: its Version is 0.
type Catalog struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Accounts []Account `json:"accounts,omitempty"` // none: nobody needs a key
}

// Route tells which requests go to which service, and how.
type Route struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`   // of the Host header, without port
	Prefix    string        `json:"prefix"` // of the path; begins and ends with a slash
	Kind      Kind          `json:"kind"`
	Timeout   time.Duration `json:"timeout"` // longest time that a request is held
	Target    time.Duration `json:"target"`  // to the answer, or to the first event of a stream
	MaxPause  time.Duration `json:"maxPause,omitempty"`
	Priority  int           `json:"priority"` // 0 is the most urgent
	Attempts  int           `json:"attempts"` // engines that one request may be sent to
	Backends  []Backend     `json:"backends"`
	Affinity  bool          `json:"affinity,omitempty"`  // prompts share prefixes that engines keep
	Resumable bool          `json:"resumable,omitempty"` // a stream may go on at another engine
	Homes     []string      `json:"homes,omitempty"`     // regions it may run in; none: any
	Public    bool          `json:"public,omitempty"`    // needs no key where the catalog has accounts
}

// Backend is a share of a route's requests.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a set of interchangeable engines.
type Service struct {
	Name           string        `json:"name"`
	HealthPath     string        `json:"healthPath"`
	MaxConnections int           `json:"maxConnections"` // that one engine takes from all hosts together
	ColdTime       time.Duration `json:"coldTime"`       // after a start, an engine is cold for so long
	ColdRate       float64       `json:"coldRate"`       // requests a second that a cold engine bears
	Model          *ModelSpec    `json:"model,omitempty"`
}

// ModelSpec describes the engines of a service that run language models.
type ModelSpec struct {
	Slots       int `json:"slots"`       // requests in one batch
	CacheTokens int `json:"cacheTokens"` // of running requests and kept prompt parts together
	// TokenBytes is the memory of one token, and LinkRate what the link between two
	// engines carries, in bits a second: 0 where engines can't copy from each other.
	TokenBytes int     `json:"tokenBytes,omitempty"`
	LinkRate   float64 `json:"linkRate,omitempty"`
}

// Copies tells whether an engine can copy what another keeps of a prompt.
func (m ModelSpec) Copies() bool { return m.TokenBytes > 0 && m.LinkRate > 0 }

// Limits bound what callers may send. Zero means no limit of that kind.
type Limits struct {
	HeaderBytes int           `json:"headerBytes"`
	BodyBytes   int64         `json:"bodyBytes"`
	HeaderTime  time.Duration `json:"headerTime"`
	IdleTime    time.Duration `json:"idleTime"`
}

// Repeatable tells whether a request of the route may be run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// Permits tells whether the route's requests may run in a region.
func (r Route) Permits(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Pick gives the service for a request; random is any 64 uniform bits.
func (r Route) Pick(random uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(random % uint64(total))
	for _, b := range r.Backends {
		if at -= b.Weight; at < 0 {
			return b.Service
		}
	}
	return ""
}

// Table finds routes and services of a catalog by name. NewTable makes one; it
// is immutable.
type Table struct {
	catalog  Catalog
	hosts    map[string][]Route // by host, the longest prefix first
	services map[string]Service
	keys     map[KeyDigest]int // of accounts, by key
}

// NewTable indexes a catalog.
func NewTable(c Catalog) *Table {
	t := &Table{catalog: c, hosts: make(map[string][]Route), services: make(map[string]Service, len(c.Services)), keys: make(map[KeyDigest]int)}
	for _, r := range c.Routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	for i, a := range c.Accounts {
		for _, key := range a.Keys {
			t.keys[key] = i
		}
	}
	return t
}

// Version gives the catalog's version, 0 for none.
func (t *Table) Version() int64 { return t.catalog.Version }

// Limits gives the catalog's limits.
func (t *Table) Limits() Limits { return t.catalog.Limits }

// Services gives the catalog's services. They must not be changed.
func (t *Table) Services() []Service { return t.catalog.Services }

// Service gives the service of that name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Match gives the route of a request: of its host's routes, the one with the
// longest prefix of the path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Homes counts, for each region, the host's bound routes whose requests may run
// there. It is empty where no route of the host is bound to regions. Bound
// routes of one host may contradict each other, so that no region need serve
// them all.
func (t *Table) Homes(host string) map[string]int {
	homes := make(map[string]int)
	for _, r := range t.hosts[host] {
		for _, region := range r.Homes {
			homes[region]++
		}
	}
	return homes
}
