// This file defines the settings of a member: a host that finds the others by seeds.

package settings

import (
	"cmp"
	"math"
	"net"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/entryweight"
	"github.com/linenscale/linenscale/rollout"
	"github.com/linenscale/linenscale/roster"
)

// Member is the content of the settings file of one gateway or control host, which
// doesn't list the other hosts. Durations are in Go's notation.
type Member struct {
	// Deployment is the name of the whole system, the same on all its hosts. They reject
	// connections and messages from hosts of another deployment.
	Deployment string      `yaml:"deployment"`
	Name       string      `yaml:"name"`
	Role       roster.Role `yaml:"role"`
	Region     string      `yaml:"region"`
	DataCentre string      `yaml:"data_centre"`
	// IP is the address by which other hosts reach this one.
	IP string `yaml:"ip"`
	// Bind is the IP address that the host listens on and connects from, if it differs
	// from IP, as behind a forwarding router. Empty if they are the same.
	Bind string `yaml:"bind"`
	// Ports holds the first and last port that hosts may use between themselves, the same
	// on all hosts.
	Ports  []int           `yaml:"ports"`
	Listen ListenAddresses `yaml:"listen"`
	// Seeds holds the operators' addresses of some control hosts. Some of them may be
	// down or out of date.
	Seeds []string `yaml:"seeds"`
	// FirstStart is true only for the first start of the whole system, when the control
	// hosts among the seeds form the ledger.
	FirstStart bool `yaml:"first_start"`
	// DataDir is the data folder, which survives a restart; empty for a host without one.
	// A control host needs one.
	DataDir string `yaml:"data_dir"`
	// Regions maps each data centre to its region.
	Regions map[string]string `yaml:"regions"`
	// MaxVoterLosses is how many voting control hosts may be down at the same time.
	MaxVoterLosses int `yaml:"losses"`
	// Heartbeat is the interval at which engines renew their registration.
	Heartbeat time.Duration `yaml:"heartbeat"`
	// StopTime is how long the process may take to stop after SIGTERM, with its requests
	// in flight.
	StopTime time.Duration `yaml:"stop_time"`
	// MemoryMiB is the memory limit of the process, in units of 2^20 bytes; 0 for none.
	MemoryMiB int `yaml:"memory_mb"`
	// CPUShare is the share of a core that the process gets, Cores how many times as fast as
	// usual that core is, and LinkMbps the bandwidth of the host's link; 0 if unknown.
	// Callers are directed to gateways in proportion to them.
	CPUShare float64     `yaml:"cpu_share"`
	Cores    float64     `yaml:"cores"`
	LinkMbps float64     `yaml:"link_mbps"`
	Retries  RetryBudget `yaml:"retries"`
	// KeysRevokedWithin bounds how long any host may still serve requests with a revoked
	// key, counted from the acknowledgement of the catalog that removes the key; 0 for no
	// bound.
	KeysRevokedWithin time.Duration `yaml:"keys_revoked_within"`
	Allowances        Allowances    `yaml:"allowances"`
	Rollouts          Rollouts      `yaml:"rollouts"`
}

// Rollouts bounds what a version of a service's engines receives before it is known to be
// good.
type Rollouts struct {
	Exposure float64 `yaml:"exposure"` // share of the service's requests, above 0 and up to 1
}

// Allowances bounds by how much client accounts may exceed their allowances before hosts
// have received each other's reports. An allowance is an account's rate limit, with a
// rate and a burst. Within each window, all hosts together admit at most
// (rate * window + burst) * (1 + overage) + slack.
type Allowances struct {
	Window  time.Duration `yaml:"window"`
	Overage float64       `yaml:"overage"` // a fraction: 0.1 is 10 %
	Slack   float64       `yaml:"slack"`   // in the units of the allowances
}

// ListenAddresses holds the addresses that a host listens on, each an IP address and a port. An
// empty address disables the interface.
type ListenAddresses struct {
	Callers   string `yaml:"callers"`   // requests
	Ready     string `yaml:"ready"`     // the platform's readiness checks
	Operators string `yaml:"operators"` // operators and engines
	Directory string `yaml:"directory"` // lookups of the gateways to use
	Metrics   string `yaml:"metrics"`   // the Prometheus scrape and the status pages
}

// RetryBudget is the retry budget: it bounds the attempts after the first one of each request,
// over all hosts together, within each window.
type RetryBudget struct {
	Share  float64       `yaml:"share"` // of the requests in the window, as a fraction
	Extra  float64       `yaml:"extra"` // attempts in each window beyond Share
	Window time.Duration `yaml:"window"`
}

// DefaultMember holds the values of settings that a member's file doesn't set.
var DefaultMember = Member{
	MaxVoterLosses: 1,
	Heartbeat:      time.Second,
	StopTime:       7 * time.Second,
	Retries:        RetryBudget{Share: 0.1, Extra: 10, Window: 10 * time.Second},
	Allowances:     Allowances{Window: 10 * time.Second, Overage: 0.1},
	Rollouts:       Rollouts{Exposure: rollout.DefaultExposure},
}

// ReadMember reads and checks a member's settings file. The error is a *FaultsError if the
// file can be read but its content is invalid.
func ReadMember(path string) (Member, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Member{}, errors.Annotate(err, "settings")
	}
	return ParseMember(path, data)
}

// ParseMember reads and checks a member's settings from data. name is the file's name in
// error messages.
func ParseMember(name string, data []byte) (Member, error) {
	return parse(name, data, Member.withDefaults, (*checker).checkMember)
}

func (m Member) withDefaults() Member {
	setDefault(&m.MaxVoterLosses, DefaultMember.MaxVoterLosses)
	setDefault(&m.Heartbeat, DefaultMember.Heartbeat)
	setDefault(&m.StopTime, DefaultMember.StopTime)
	setDefault(&m.Retries.Share, DefaultMember.Retries.Share)
	setDefault(&m.Retries.Extra, DefaultMember.Retries.Extra)
	setDefault(&m.Retries.Window, DefaultMember.Retries.Window)
	setDefault(&m.Allowances.Window, DefaultMember.Allowances.Window)
	setDefault(&m.Allowances.Overage, DefaultMember.Allowances.Overage)
	setDefault(&m.Rollouts.Exposure, DefaultMember.Rollouts.Exposure)
	return m
}

// Offsets of the ports in use from the first of Ports.
const (
	peerPortOffset = iota
	handoverPortOffset
	minPorts
)

// minKeysRevokedWithin is the shortest KeysRevokedWithin. Gateways poll the control hosts
// each half second; with a shorter bound they would reject callers in ordinary failures.
const minKeysRevokedWithin = 2 * time.Second

// BindAddress returns the address to listen on for an address that others connect to:
// its IP address is replaced by Bind, if that is set.
func (m Member) BindAddress(address string) string {
	_, port, err := net.SplitHostPort(address)
	if err != nil || m.Bind == "" {
		return address
	}
	return net.JoinHostPort(m.Bind, port)
}

// PeerAddress returns this host's address for net/rpc and datagrams between hosts.
func (m Member) PeerAddress() string { return m.portAddress(m.IP, peerPortOffset) }

// Size returns what the host has, as it announces it.
func (m Member) Size() entryweight.Size {
	clamped := func(amount float64) int32 { return int32(min(amount*1000, math.MaxInt32)) }
	return entryweight.Size{Millicores: clamped(m.CPUShare * cmp.Or(m.Cores, 1)), LinkKbps: clamped(m.LinkMbps)}
}

// HandoverAddress returns this gateway's address for requests from other gateways.
func (m Member) HandoverAddress() string { return m.portAddress(m.IP, handoverPortOffset) }

// portAddress returns an address at a port given by its offset in Ports.
func (m Member) portAddress(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(m.Ports[0]+offset))
}

// SeedPeerAddresses returns the seeds' addresses for net/rpc between hosts. It skips
// malformed seeds.
func (m Member) SeedPeerAddresses() []string {
	out := make([]string, 0, len(m.Seeds))
	for _, seed := range m.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil {
			out = append(out, m.portAddress(address.Addr().String(), peerPortOffset))
		}
	}
	return out
}

// VoterCount returns the number of voting control hosts: with that many, a quorum remains
// when MaxVoterLosses of them are down.
func (m Member) VoterCount() int { return 2*m.MaxVoterLosses + 1 }

// checkMember checks the values of a Member.
func (c *checker) checkMember(m Member) {
	for _, f := range []struct{ path, value string }{
		{"$.name", m.Name},
		{"$.region", m.Region},
		{"$.data_centre", m.DataCentre},
	} {
		if f.value == "" {
			c.addFault(f.path, "is missing")
		}
	}
	switch m.Role {
	case roster.RoleGateway, roster.RoleControl:
	default:
		c.addFault("$.role", "must be gateway or control, is %q", m.Role)
	}
	if m.Role == roster.RoleControl && m.DataDir == "" {
		c.addFault("$.data_dir", "is missing, a control host needs a data folder")
	}
	if m.Regions[m.DataCentre] != m.Region {
		c.addFault("$.regions", "data centre %q is in region %q", m.DataCentre, m.Regions[m.DataCentre])
	}
	if _, err := netip.ParseAddr(m.IP); err != nil {
		c.addFault("$.ip", "must be an IP address, is %q", m.IP)
	}
	if _, err := netip.ParseAddr(m.Bind); m.Bind != "" && err != nil {
		c.addFault("$.bind", "must be an IP address, is %q", m.Bind)
	}
	if m.KeysRevokedWithin != 0 && m.KeysRevokedWithin < minKeysRevokedWithin {
		c.addFault("$.keys_revoked_within", "must be 0 for no bound, or at least %v, is %v", minKeysRevokedWithin, m.KeysRevokedWithin)
	}
	if m.Allowances.Window < 0 || m.Allowances.Overage < 0 || m.Allowances.Slack < 0 {
		c.addFault("$.allowances", "must not be negative")
	}
	for _, f := range []struct {
		path  string
		value float64
	}{{"$.cpu_share", m.CPUShare}, {"$.cores", m.Cores}, {"$.link_mbps", m.LinkMbps}} {
		if !(f.value >= 0) || math.IsInf(f.value, 1) { // nor NaN
			c.addFault(f.path, "must be 0 for unknown, or a positive number, is %v", f.value)
		}
	}
	if m.Rollouts.Exposure < 0 || m.Rollouts.Exposure > 1 {
		c.addFault("$.rollouts.exposure", "must be above 0 and up to 1, is %v", m.Rollouts.Exposure)
	}
	if len(m.Ports) != 2 || m.Ports[1]-m.Ports[0] < minPorts-1 {
		c.addFault("$.ports", "must be the first and last of at least %d ports", minPorts)
	}
	c.checkMemberAddresses(m)
}

// checkMemberAddresses checks a member's listen addresses and seeds.
func (c *checker) checkMemberAddresses(m Member) {
	for _, f := range []struct {
		path, value string
		required    bool
	}{
		{"$.listen.callers", m.Listen.Callers, m.Role == roster.RoleGateway},
		{"$.listen.ready", m.Listen.Ready, false},
		{"$.listen.operators", m.Listen.Operators, m.Role == roster.RoleControl},
		{"$.listen.directory", m.Listen.Directory, false},
		{"$.listen.metrics", m.Listen.Metrics, false},
	} {
		if f.value == "" && !f.required {
			continue
		}
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			c.addFault(f.path, "must be an IP address and a port, is %q", f.value)
		}
	}
	for i, seed := range m.Seeds {
		if _, err := netip.ParseAddrPort(seed); err != nil {
			c.addFault("$.seeds["+strconv.Itoa(i)+"]", "must be an IP address and a port, is %q", seed)
		}
	}
}
