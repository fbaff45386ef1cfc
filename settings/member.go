// This file defines the settings of a host that finds the others by seeds.

package settings

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/roster"
)

// Member is the content of the settings file of one host that is not told which
// other hosts there are. Durations are written as Go writes them.
type Member struct {
	// Deployment is the name of the whole system, the same on all its hosts: they
	// reject what comes from hosts of another one.
	Deployment string      `yaml:"deployment"`
	Name       string      `yaml:"name"`
	Role       roster.Role `yaml:"role"`
	Region     string      `yaml:"region"`
	DataCentre string      `yaml:"data_centre"`
	// IP is the number by which other hosts reach this one.
	IP string `yaml:"ip"`
	// Bind is the number that it listens on and connects from, where that is
	// another: behind a router that forwards. Empty for the same.
	Bind string `yaml:"bind"`
	// Ports are the first and last port that hosts may use among themselves.
	// They are the same on all hosts.
	Ports  []int  `yaml:"ports"`
	Listen Listen `yaml:"listen"`
	// Seeds are operators' addresses of some control hosts. They need not be
	// up, and may be out of date.
	Seeds []string `yaml:"seeds"`
	// FirstStart is true only when the whole system starts for the first time:
	// the control hosts among the seeds then form the ledger.
	FirstStart bool `yaml:"first_start"`
	// DataDir is the folder that outlives a restart; empty for a host without.
	DataDir string `yaml:"data_dir"`
	// Regions gives the region of each data centre.
	Regions map[string]string `yaml:"regions"`
	// Losses is how many hosts with a data folder may be lost at one time.
	Losses int `yaml:"losses"`
	// Heartbeat is how often engines register.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// StopTime is how long requests in flight may take after SIGTERM.
	StopTime time.Duration `yaml:"stop_time"`
	// MemoryMB is what the process may use, in 2^20 bytes; 0 for no limit.
	MemoryMB int   `yaml:"memory_mb"`
	Retries  Retry `yaml:"retries"`
	// KeysRevokedWithin is how long after the acknowledgement of a catalog that takes a
	// key away requests with it may still be served, on any host; 0 for no bound.
	KeysRevokedWithin time.Duration `yaml:"keys_revoked_within"`
	Allowances        Allowances    `yaml:"allowances"`
}

// Allowances says how far client accounts' allowances may be exceeded while hosts don't
// know of each other yet: within each window, all hosts together admit the rate times
// the window and the burst, times one and the overage, and the slack.
type Allowances struct {
	Window  time.Duration `yaml:"window"`
	Overage float64       `yaml:"overage"` // a share
	Slack   float64       `yaml:"slack"`   // in the units of the allowances
}

// Listen holds the addresses for what a host serves, each an IP number and a
// port; empty for what it doesn't serve.
type Listen struct {
	Callers   string `yaml:"callers"`   // requests
	Ready     string `yaml:"ready"`     // the platform's question whether to send callers here
	Operators string `yaml:"operators"` // operators and engines
	Directory string `yaml:"directory"` // which gateways to use
	Metrics   string `yaml:"metrics"`   // counters and histograms, as text
}

// Retry bounds the sends beyond the first of each request, of all hosts
// together within each window.
type Retry struct {
	Share  float64       `yaml:"share"` // of the requests
	Extra  float64       `yaml:"extra"`
	Window time.Duration `yaml:"window"`
}

// DefaultMember holds the values in force where a file is silent.
var DefaultMember = Member{
	Losses:     1,
	Heartbeat:  time.Second,
	StopTime:   7 * time.Second,
	Retries:    Retry{Share: 0.1, Extra: 10, Window: 10 * time.Second},
	Allowances: Allowances{Window: 10 * time.Second, Overage: 0.1},
}

// ReadMember reads and checks the settings file of one host.
func ReadMember(path string) (Member, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Member{}, errors.Annotate(err, "settings")
	}
	return ParseMember(path, data)
}

// ParseMember reads and checks settings from data; name stands in messages.
func ParseMember(name string, data []byte) (Member, error) {
	return parse(name, data, Member.withDefaults, (*checker).member)
}

func (m Member) withDefaults() Member {
	setDefault(&m.Losses, DefaultMember.Losses)
	setDefault(&m.Heartbeat, DefaultMember.Heartbeat)
	setDefault(&m.StopTime, DefaultMember.StopTime)
	setDefault(&m.Retries.Share, DefaultMember.Retries.Share)
	setDefault(&m.Retries.Extra, DefaultMember.Retries.Extra)
	setDefault(&m.Retries.Window, DefaultMember.Retries.Window)
	setDefault(&m.Allowances.Window, DefaultMember.Allowances.Window)
	setDefault(&m.Allowances.Overage, DefaultMember.Allowances.Overage)
	return m
}

// Places within Ports.
const (
	peerPort = iota
	handoverPort
	wantedPorts
)

// leastRevoked is the shortest bound for keys that can be kept without refusing callers
// in ordinary trouble: control hosts are asked each half second.
const leastRevoked = 2 * time.Second

// BindAddress gives the address to listen on for one that others know.
func (m Member) BindAddress(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil || m.Bind == "" {
		return address
	}
	return net.JoinHostPort(m.Bind, port)
}

// PeerAddress is the address of net/rpc between hosts.
func (m Member) PeerAddress() string { return m.inner(m.IP, peerPort) }

// HandoverAddress is a gateway's address for requests from other gateways.
func (m Member) HandoverAddress() string { return m.inner(m.IP, handoverPort) }

func (m Member) inner(ip string, place int) string {
	return net.JoinHostPort(ip, strconv.Itoa(m.Ports[0]+place))
}

// SeedPeerAddresses gives the seeds' addresses of net/rpc between hosts.
func (m Member) SeedPeerAddresses() []string {
	out := make([]string, 0, len(m.Seeds))
	for _, seed := range m.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			out = append(out, m.inner(address.Addr().String(), peerPort))
		}
	}
	return out
}

// VoterCount is how many control hosts vote, so that Losses of them may be lost.
func (m Member) VoterCount() int { return 2*m.Losses + 1 }

// member checks the values of a Member.
func (c *checker) member(m Member) {
	for _, f := range []struct{ path, value string }{
		{"$.name", m.Name},
		{"$.region", m.Region},
		{"$.data_centre", m.DataCentre},
	} {
		if f.value == "" {
			c.fault(f.path, "is missing")
		}
	}
	switch m.Role {
	case roster.RoleGateway, roster.RoleControl:
	default:
		c.fault("$.role", "must be gateway or control, is %q", m.Role)
	}
	if m.Role == roster.RoleControl && m.DataDir == "" {
		c.fault("$.data_dir", "a control host needs one")
	}
	if m.Regions[m.DataCentre] != m.Region {
		c.fault("$.regions", "data centre %q is in region %q", m.DataCentre, m.Regions[m.DataCentre])
	}
	if _, err := netip.ParseAddr(m.IP); err != nil {
		c.fault("$.ip", "must be an IP number, is %q", m.IP)
	}
	if _, err := netip.ParseAddr(m.Bind); m.Bind != "" && err != nil {
		c.fault("$.bind", "must be an IP number, is %q", m.Bind)
	}
	if m.KeysRevokedWithin != 0 && m.KeysRevokedWithin < leastRevoked {
		c.fault("$.keys_revoked_within", "must be 0 for no bound, or %v and more, is %v", leastRevoked, m.KeysRevokedWithin)
	}
	if m.Allowances.Window < 0 || m.Allowances.Overage < 0 || m.Allowances.Slack < 0 {
		c.fault("$.allowances", "must not be negative")
	}
	if len(m.Ports) != 2 || m.Ports[1]-m.Ports[0] < wantedPorts-1 {
		c.fault("$.ports", "must be the first and last of at least %d ports", wantedPorts)
	}
	c.memberAddresses(m)
}

func (c *checker) memberAddresses(m Member) {
	for _, f := range []struct {
		path, value string
		wanted      bool
	}{
		{"$.listen.callers", m.Listen.Callers, m.Role == roster.RoleGateway},
		{"$.listen.ready", m.Listen.Ready, false},
		{"$.listen.operators", m.Listen.Operators, m.Role == roster.RoleControl},
		{"$.listen.directory", m.Listen.Directory, false},
		{"$.listen.metrics", m.Listen.Metrics, false},
	} {
		if f.value == "" && !f.wanted {
			continue
		}
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			c.fault(f.path, "must be an IP number and a port, is %q", f.value)
		}
	}
	for i, seed := range m.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			c.fault("$.seeds["+strconv.Itoa(i)+"]", "must be an IP number and a port, is %q", seed)
		}
	}
}
