// This file defines the checks of a settings file: unknown keys by the types'
// own tags, then the values.

package settings

import (
	"fmt"
	"net/netip"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"
)

// checker collects the faults of one file.
type checker struct {
	name   string
	root   ast.Node
	faults []Fault
}

// Parse reads and checks settings from data; name stands in messages.
func Parse(name string, data []byte) (Settings, error) {
	return parse(name, data, Settings.withDefaults, (*checker).values)
}

// parse reads one document into a type of settings and checks its keys and
// values.
func parse[T any](name string, data []byte, withDefaults func(T) T, check func(*checker, T)) (T, error) {
	var s T
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return s, syntaxError(name, err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return s, &FaultsError{[]Fault{{name, 1, "$", "must hold exactly one document"}}}
	}
	c := &checker{name: name, root: file.Docs[0].Body}
	c.unknownKeys(c.root, reflect.TypeFor[T](), "$")
	if err := yaml.NodeToValue(c.root, &s); err != nil {
		c.faults = append(c.faults, syntaxError(name, err).Faults...)
		return s, c.result()
	}
	s = withDefaults(s)
	check(c, s)
	return s, c.result()
}

func (c *checker) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Line < c.faults[j].Line })
	return &FaultsError{c.faults}
}

func syntaxError(name string, err error) *FaultsError {
	line, message := 1, err.Error()
	var known yaml.Error
	if errors.As(err, &known) {
		message = known.GetMessage()
		if known.GetToken() != nil {
			line = known.GetToken().Position.Line
		}
	}
	return &FaultsError{[]Fault{{name, line, "$", message}}}
}

// unknownKeys walks the document beside the type that it is read into.
func (c *checker) unknownKeys(node ast.Node, t reflect.Type, path string) {
	switch n := node.(type) {
	case *ast.SequenceNode:
		if t.Kind() != reflect.Slice {
			return
		}
		for i, value := range n.Values {
			c.unknownKeys(value, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	case *ast.MappingNode:
		if t.Kind() == reflect.Map {
			return // any key may stand there
		}
		for _, value := range n.Values {
			c.unknownKey(value, t, path)
		}
	}
}

func (c *checker) unknownKey(value *ast.MappingValueNode, t reflect.Type, path string) {
	key := value.Key.String()
	at := path + "." + key
	field, ok := fieldOf(t, key)
	if !ok {
		c.faults = append(c.faults, Fault{c.name, value.Key.GetToken().Position.Line, at, "unknown key"})
		return
	}
	c.unknownKeys(value.Value, field, at)
}

func fieldOf(t reflect.Type, key string) (reflect.Type, bool) {
	if t.Kind() != reflect.Struct {
		return nil, false
	}
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("yaml") == key {
			return t.Field(i).Type, true
		}
	}
	return nil, false
}

// fault adds a fault at a path, or at the nearest part of it that the file
// holds.
func (c *checker) fault(path, format string, args ...any) {
	line := 1
	for at := path; at != "$"; at = at[:strings.LastIndexAny(at, ".[")] {
		if found, ok := c.line(at); ok {
			line = found
			break
		}
	}
	c.faults = append(c.faults, Fault{c.name, line, path, fmt.Sprintf(format, args...)})
}

func (c *checker) line(path string) (int, bool) {
	p, err := yaml.PathString(path)
	if err != nil {
		return 0, false
	}
	node, err := p.FilterNode(c.root)
	if err != nil || node == nil {
		return 0, false
	}
	if m, ok := node.(*ast.MappingNode); ok && len(m.Values) > 0 {
		return m.Values[0].Key.GetToken().Position.Line, true
	}
	return node.GetToken().Position.Line, true
}

func (c *checker) values(s Settings) {
	if s.Association == "" {
		c.fault("$.association", "is missing")
	}
	if len(s.Hosts) == 0 {
		c.fault("$.hosts", "is missing")
	}
	c.limits(s)
	names := map[string]int{}
	addresses := map[string]string{}
	regions := map[string]string{}
	for i, h := range s.Hosts {
		path := fmt.Sprintf("$.hosts[%d]", i)
		if first, ok := names[h.Name]; ok {
			c.fault(path+".name", "%q is already the name of hosts[%d]", h.Name, first)
		}
		names[h.Name] = i
		c.host(path, h, regions)
		c.addresses(path, h, addresses)
	}
	if voters := len(s.Voters()); voters > 0 && voters%2 == 0 {
		c.fault("$.hosts", "an even number of voters, %d, stands no more losses than one fewer", voters)
	}
}

func (c *checker) host(path string, h Host, regions map[string]string) {
	if h.Name == "" {
		c.fault(path+".name", "is missing")
	}
	if h.Region == "" {
		c.fault(path+".region", "is missing")
	}
	if h.DataCentre == "" {
		c.fault(path+".data_centre", "is missing")
	}
	if known, ok := regions[h.DataCentre]; ok && known != h.Region {
		c.fault(path+".region", "data centre %q is in region %q above", h.DataCentre, known)
	}
	regions[h.DataCentre] = h.Region
	if h.Voter && !h.Disk {
		c.fault(path+".voter", "a voter needs a disk")
	}
	if _, err := netip.ParseAddr(h.WideArea); h.WideArea != "" && err != nil {
		c.fault(path+".wide_area", "must be an IP address, is %q", h.WideArea)
	}
}

func (c *checker) addresses(path string, h Host, seen map[string]string) {
	fields := []struct{ key, value string }{
		{"callers", h.Callers},
		{"handover", h.Handover},
		{"control", h.Control},
		{"operators", h.Operators},
	}
	for _, f := range fields {
		at := path + "." + f.key
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			c.fault(at, "must be an IP address and a port, is %q", f.value)
			continue
		}
		if other, ok := seen[f.value]; ok {
			c.fault(at, "%s is already used at %s", f.value, other)
		}
		seen[f.value] = at
	}
}

func (c *checker) limits(s Settings) {
	l, t := s.Limits, s.Control
	positive := []struct {
		path string
		ok   bool
	}{
		{"$.limits.header_bytes", l.HeaderBytes > 0},
		{"$.limits.body_bytes", l.BodyBytes > 0},
		{"$.limits.in_flight", l.InFlight > 0},
		{"$.limits.header_time", l.HeaderTime > 0},
		{"$.limits.request_time", l.RequestTime > 0},
		{"$.limits.slow_caller_time", l.SlowCallerTime > 0},
		{"$.limits.stop_time", l.StopTime > 0},
		{"$.control.heartbeat", t.Heartbeat > 0},
		{"$.control.decide", t.Decide > 0},
	}
	for _, p := range positive {
		if !p.ok {
			c.fault(p.path, "must be more than 0")
		}
	}
	if t.Election < 3*t.Heartbeat {
		c.fault("$.control.election", "must be at least 3 heartbeats")
	}
	if t.Lease < 2*t.Heartbeat {
		c.fault("$.control.lease", "must be at least 2 heartbeats")
	}
}
