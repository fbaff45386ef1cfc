package catalog

import (
	"slices"
	"strings"
	"time"
)

// Kind states how often a request of a route may run.
type Kind string

// The kinds of route.
const (
	KindSafe   Kind = "safe"   // may run any number of times
	KindUnsafe Kind = "unsafe" // runs at most once per request
	KindStream Kind = "stream" // is answered by an event stream; repeatable only if Resumable
)

// Catalog is the whole declaration of an operator. The zero value, whose Version is 0, is
// the catalog of a system before the first declaration.
type Catalog struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Accounts []Account `json:"accounts,omitempty"` // empty means that no request needs a key
}

// Route matches requests by host and path, and states which services answer them and on
// which terms.
type Route struct {
	Name      string        `json:"name"`
	Host      string        `json:"host"`   // value of the Host header, without port
	Prefix    string        `json:"prefix"` // path prefix; begins and ends with a slash
	Kind      Kind          `json:"kind"`
	Timeout   time.Duration `json:"timeout"`            // maximum time to serve a request
	Target    time.Duration `json:"target"`             // target latency of the response, or of the first event of a stream
	MaxPause  time.Duration `json:"maxPause,omitempty"` // target for the longest pause between events
	Priority  int           `json:"priority"`           // 0 is the most urgent
	Attempts  int           `json:"attempts"`           // maximum number of engines that a request is sent to
	Backends  []Backend     `json:"backends"`
	Affinity  bool          `json:"affinity,omitempty"`  // prompts share prefixes, which engines cache
	Resumable bool          `json:"resumable,omitempty"` // another engine can continue a stream
	Homes     []string      `json:"homes,omitempty"`     // regions its requests may run in; empty means any
	Public    bool          `json:"public,omitempty"`    // needs no key even if the catalog has accounts
}

// Backend assigns a weighted share of a route's requests to a service.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a set of interchangeable engines.
type Service struct {
	Name           string        `json:"name"`
	HealthPath     string        `json:"healthPath"`
	MaxConnections int           `json:"maxConnections"` // per engine, summed over all hosts
	ColdTime       time.Duration `json:"coldTime"`       // how long an engine is cold after its start
	ColdRate       float64       `json:"coldRate"`       // requests per second that a cold engine can serve
	Model          *ModelSpec    `json:"model,omitempty"`
}

// ModelSpec describes the engines of a service that run language models.
type ModelSpec struct {
	Slots       int `json:"slots"`                 // maximum requests in one batch
	CacheTokens int `json:"cacheTokens"`           // KV cache capacity, shared by running requests and cached prefix blocks
	EventTokens int `json:"eventTokens,omitempty"` // tokens that one event of a stream holds; 0 if not stated
	// TokenBytes is the KV cache memory of one token, and LinkRate the bandwidth of the
	// link between two engines in bits per second. Both are 0 if engines can't transfer
	// KV cache to each other.
	TokenBytes int     `json:"tokenBytes,omitempty"`
	LinkRate   float64 `json:"linkRate,omitempty"`
}

// CanTransferCache reports whether an engine can fetch the cached prefix blocks of a prompt
// from another engine.
func (m ModelSpec) CanTransferCache() bool { return m.TokenBytes > 0 && m.LinkRate > 0 }

// Limits bounds the size and timing of what callers send. A zero field means no limit.
type Limits struct {
	HeaderBytes int           `json:"headerBytes"`
	BodyBytes   int64         `json:"bodyBytes"`
	HeaderTime  time.Duration `json:"headerTime"`
	IdleTime    time.Duration `json:"idleTime"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// PermitsRegion reports whether the route's requests may run in a region.
func (r Route) PermitsRegion(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// PickService draws the service for a request in proportion to the backends' weights, or
// returns "" if no backend has a positive weight. random is 64 uniformly distributed bits.
func (r Route) PickService(random uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	if total <= 0 {
		return ""
	}
	remaining := int(random % uint64(total))
	for _, b := range r.Backends {
		if remaining -= b.Weight; remaining < 0 {
			return b.Service
		}
	}
	return ""
}

// Table is an immutable index of a catalog: routes by host, services by name, accounts by
// key. Use NewTable to create one.
type Table struct {
	catalog           Catalog
	routesByHost      map[string][]Route // longest prefix first
	routesByService   map[string][]Route // in the catalog's order
	serviceByName     map[string]Service
	accountIndexByKey map[KeyDigest]int // index into catalog.Accounts
}

// NewTable indexes a catalog.
func NewTable(c Catalog) *Table {
	t := &Table{catalog: c, routesByHost: make(map[string][]Route), routesByService: make(map[string][]Route), serviceByName: make(map[string]Service, len(c.Services)), accountIndexByKey: make(map[KeyDigest]int)}
	for _, r := range c.Routes {
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
		for _, b := range r.Backends {
			t.routesByService[b.Service] = append(t.routesByService[b.Service], r)
		}
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range c.Services {
		t.serviceByName[s.Name] = s
	}
	for i, a := range c.Accounts {
		for _, key := range a.Keys {
			t.accountIndexByKey[key] = i
		}
	}
	return t
}

// Version returns the catalog's version, or 0 if nothing has been declared yet.
func (t *Table) Version() int64 { return t.catalog.Version }

// Limits returns the catalog's limits on what callers may send.
func (t *Table) Limits() Limits { return t.catalog.Limits }

// Services returns the catalog's services. The caller must not modify them.
func (t *Table) Services() []Service { return t.catalog.Services }

// Service returns the service with the given name.
func (t *Table) Service(name string) (Service, bool) {
	s, ok := t.serviceByName[name]
	return s, ok
}

// RoutesOf returns the routes whose requests may go to a service, in the catalog's order. The
// caller must not modify them.
func (t *Table) RoutesOf(service string) []Route { return t.routesByService[service] }

// Match returns the route of a request: among the routes of the host, the one with the
// longest prefix of path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, r := range t.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// BoundRoutesByRegion returns, for each region, the number of routes of the host that are
// bound to that region. The map is empty if no route of the host is bound to regions.
// Routes of one host may be bound to disjoint sets of regions, so there may be no region
// that serves them all.
func (t *Table) BoundRoutesByRegion(host string) map[string]int {
	homes := make(map[string]int)
	for _, r := range t.routesByHost[host] {
		for _, region := range r.Homes {
			homes[region]++
		}
	}
	return homes
}
