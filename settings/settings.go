// Package settings reads and checks the YAML settings of linenscaled.
//
// There are two kinds of settings files. Settings describes a whole association: every
// host with its addresses and data centre; the command line says which of the hosts a
// process is. Member describes one host, which finds the others by seeds.
//
// A file is checked as a whole, and each fault is reported with its path and line, so
// that one run shows everything to correct.
package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// Settings is the content of an association's settings file. Durations are in Go's
// notation: "3s", "150ms".
type Settings struct {
	// Association is the name of the organisation. Hosts reject connections from hosts of
	// another association.
	Association string `yaml:"association"`
	// Declarations is a folder, relative to the settings file, whose
	// declarations form the first configuration of a new control log.
	Declarations string `yaml:"declarations"`
	// DataRoot is a folder, relative to the working directory. Each host with a disk
	// stores its data in a subfolder that has the host's name.
	DataRoot string `yaml:"data_root"`
	// Platform is the base URL of the platform's host list; empty for none.
	Platform string        `yaml:"platform"`
	Hosts    []Host        `yaml:"hosts"`
	Limits   Limits        `yaml:"limits"`
	Control  ControlTiming `yaml:"control"`

	dir string
}

// Host is one entry host. Each address is an IP address and a port.
type Host struct {
	Name       string `yaml:"name"`
	Region     string `yaml:"region"`
	DataCentre string `yaml:"data_centre"`
	Callers    string `yaml:"callers"`   // callers' HTTP requests
	Handover   string `yaml:"handover"`  // HTTP requests from other entry hosts
	Control    string `yaml:"control"`   // net/rpc between entry hosts
	Operators  string `yaml:"operators"` // operators' HTTP and metrics
	// WideArea is the IP address by which hosts of other regions reach this host;
	// empty if it is the same as within the region.
	WideArea string `yaml:"wide_area"`
	// Disk is true for a host whose data folder survives a restart.
	Disk bool `yaml:"disk"`
	// Voter is true for a host that is one of the initial voters of a new control log.
	// A voter needs a disk.
	Voter bool `yaml:"voter"`
}

// Limits bounds the requests that one process accepts. Sizes are in bytes.
type Limits struct {
	HeaderBytes       int           `yaml:"header_bytes"`
	BodyBytes         int64         `yaml:"body_bytes"` // of a model request; plain uploads are streamed
	InFlight          int           `yaml:"in_flight"`
	HeaderTimeout     time.Duration `yaml:"header_time"`      // to read a request's headers
	RequestTime       time.Duration `yaml:"request_time"`     // longest deadline of any request
	SlowCallerTimeout time.Duration `yaml:"slow_caller_time"` // longest wait for a caller to read bytes
	StopTime          time.Duration `yaml:"stop_time"`        // for requests in flight after SIGTERM
}

// ControlTiming sets the intervals and timeouts of the control log and its leases.
type ControlTiming struct {
	HeartbeatInterval time.Duration `yaml:"heartbeat"` // between messages of the control log's leader
	ElectionTimeout   time.Duration `yaml:"election"`  // shortest time without a leader before an election
	LeaseTime         time.Duration `yaml:"lease"`     // how long a host serves without a renewal
	DecideTimeout     time.Duration `yaml:"decide"`    // longest wait for acknowledgements of a change
}

// Default values of settings that the file doesn't set.
var (
	DefaultLimits = Limits{
		HeaderBytes:       32 << 10,
		BodyBytes:         16 << 20,
		InFlight:          4096,
		HeaderTimeout:     5 * time.Second,
		RequestTime:       10 * time.Minute,
		SlowCallerTimeout: 30 * time.Second,
		StopTime:          20 * time.Second,
	}
	DefaultTiming = ControlTiming{
		HeartbeatInterval: 250 * time.Millisecond,
		ElectionTimeout:   time.Second,
		LeaseTime:         2500 * time.Millisecond,
		DecideTimeout:     5 * time.Second,
	}
)

// Read reads and checks an association's settings file. The error is a *FaultsError if
// the file can be read but its content is invalid.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "settings")
	}
	s, err := Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	s.dir = filepath.Dir(path)
	return s, nil
}

// DeclarationsDir returns the folder of declarations, resolved relative to the folder of
// the settings file.
func (s Settings) DeclarationsDir() string { return filepath.Join(s.dir, s.Declarations) }

// DataDir returns the data folder of a host, or "" for a host without a disk.
func (s Settings) DataDir(host Host) string {
	if !host.Disk {
		return ""
	}
	return filepath.Join(s.DataRoot, host.Name)
}

// Host returns the host with a name. The error is errors.NotFound if there is none.
func (s Settings) Host(name string) (Host, error) {
	for _, h := range s.Hosts {
		if h.Name == name {
			return h, nil
		}
	}
	return Host{}, errors.NotFoundf("host %q in the settings", name)
}

// Voters returns the hosts that form a new control log.
func (s Settings) Voters() []Host {
	var voters []Host
	for _, h := range s.Hosts {
		if h.Voter {
			voters = append(voters, h)
		}
	}
	return voters
}

// withDefaults replaces zero values by the defaults.
func (s Settings) withDefaults() Settings {
	l := &s.Limits
	setDefault(&l.HeaderBytes, DefaultLimits.HeaderBytes)
	setDefault(&l.BodyBytes, DefaultLimits.BodyBytes)
	setDefault(&l.InFlight, DefaultLimits.InFlight)
	setDefault(&l.HeaderTimeout, DefaultLimits.HeaderTimeout)
	setDefault(&l.RequestTime, DefaultLimits.RequestTime)
	setDefault(&l.SlowCallerTimeout, DefaultLimits.SlowCallerTimeout)
	setDefault(&l.StopTime, DefaultLimits.StopTime)
	t := &s.Control
	setDefault(&t.HeartbeatInterval, DefaultTiming.HeartbeatInterval)
	setDefault(&t.ElectionTimeout, DefaultTiming.ElectionTimeout)
	setDefault(&t.LeaseTime, DefaultTiming.LeaseTime)
	setDefault(&t.DecideTimeout, DefaultTiming.DecideTimeout)
	setDefault(&s.DataRoot, "data")
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Fault is one invalid key or value in a settings file.
type Fault struct {
	File    string
	Line    int    // counts from 1
	Path    string // in YAML path notation: "$.hosts[0].name"
	Message string
}

// String returns "file:line: path: message".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Path, f.Message)
}

// FaultsError lists all faults of a settings file.
type FaultsError struct {
	Faults []Fault
}

// Error returns the faults, one on each line.
func (e *FaultsError) Error() string {
	text := ""
	for i, f := range e.Faults {
		if i > 0 {
			text += "\n"
		}
		text += f.String()
	}
	return text
}
