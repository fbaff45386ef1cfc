package standin

import (
	"net/http"
	"sort"
	"sync"
	"time"
)

// Platform is a stand-in for the platform's list of hosts. The list lags behind the
// changes made with Set. It is an http.Handler and is safe for concurrent use.
// NewPlatform makes one.
type Platform struct {
	lag   time.Duration
	clock func() time.Time

	mu      sync.Mutex
	changes []platformChange
}

type platformChange struct {
	at    time.Time
	ip    string
	state string
}

// PlatformHost is one host of the list, by IP address. State is "live" or "leaving". A host
// with the state "gone" is not listed.
type PlatformHost struct {
	IP    string `json:"ip"`
	State string `json:"state"`
}

// PlatformList is the answer to GET /hosts. At is the time whose state it shows.
type PlatformList struct {
	At    time.Time      `json:"at"`
	Hosts []PlatformHost `json:"hosts"`
}

// NewPlatform returns a platform without hosts, whose list lags by lag behind clock.
func NewPlatform(lag time.Duration, clock func() time.Time) *Platform {
	return &Platform{lag: lag, clock: clock}
}

// Set changes the state of a host to "live", "leaving" or "gone".
func (p *Platform) Set(ip, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, platformChange{p.clock(), ip, state})
}

// List returns the list as it was lag ago, sorted by IP address.
func (p *Platform) List() PlatformList {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.clock().Add(-p.lag)
	states := map[string]string{}
	for _, c := range p.changes {
		if !c.at.After(at) {
			states[c.ip] = c.state
		}
	}
	list := PlatformList{At: at}
	for ip, state := range states {
		if state != "gone" {
			list.Hosts = append(list.Hosts, PlatformHost{ip, state})
		}
	}
	sort.Slice(list.Hosts, func(i, j int) bool { return list.Hosts[i].IP < list.Hosts[j].IP })
	return list
}

// ServeHTTP serves GET /hosts, and POST /hosts?ip=…&state=… for tests.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		p.Set(r.URL.Query().Get("ip"), r.URL.Query().Get("state"))
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeJSON(w, p.List())
}
