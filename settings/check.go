// This file checks a settings file: its keys against the yaml tags of the Go types, then
// its values.

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
	file   string
	root   ast.Node
	faults []Fault
}

// Parse reads and checks an association's settings from data. name is the file's name in
// error messages.
func Parse(name string, data []byte) (Settings, error) {
	return parse(name, data, Settings.withDefaults, (*checker).checkSettings)
}

// parse reads the only document in data into a settings type, fills in the defaults and
// checks keys and values.
func parse[T any](name string, data []byte, withDefaults func(T) T, check func(*checker, T)) (T, error) {
	var s T
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return s, syntaxError(name, err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return s, &FaultsError{[]Fault{{name, 1, "$", "must hold exactly one document"}}}
	}
	c := &checker{file: name, root: file.Docs[0].Body}
	c.checkKeys(c.root, reflect.TypeFor[T](), "$")
	if err := yaml.NodeToValue(c.root, &s); err != nil {
		c.faults = append(c.faults, syntaxError(name, err).Faults...)
		return s, c.result()
	}
	s = withDefaults(s)
	check(c, s)
	return s, c.result()
}

// result returns the faults in the order of their lines, or nil if there are none.
func (c *checker) result() error {
	if len(c.faults) == 0 {
		return nil
	}
	sort.SliceStable(c.faults, func(i, j int) bool { return c.faults[i].Line < c.faults[j].Line })
	return &FaultsError{c.faults}
}

// syntaxError returns an error of the YAML library as a fault with its line.
func syntaxError(name string, err error) *FaultsError {
	line, message := 1, err.Error()
	var yamlErr yaml.Error
	if errors.As(err, &yamlErr) {
		message = yamlErr.GetMessage()
		if yamlErr.GetToken() != nil {
			line = yamlErr.GetToken().Position.Line
		}
	}
	return &FaultsError{[]Fault{{name, line, "$", message}}}
}

// checkKeys walks the document along with the type that it is decoded into, and reports
// each key for which the type has no field.
func (c *checker) checkKeys(node ast.Node, t reflect.Type, path string) {
	switch n := node.(type) {
	case *ast.SequenceNode:
		if t.Kind() != reflect.Slice {
			return
		}
		for i, value := range n.Values {
			c.checkKeys(value, t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
	case *ast.MappingNode:
		if t.Kind() == reflect.Map {
			return // a map accepts any key
		}
		for _, value := range n.Values {
			c.checkKey(value, t, path)
		}
	}
}

func (c *checker) checkKey(value *ast.MappingValueNode, t reflect.Type, path string) {
	key := value.Key.String()
	keyPath := path + "." + key
	fieldT, ok := fieldType(t, key)
	if !ok {
		c.faults = append(c.faults, Fault{c.file, value.Key.GetToken().Position.Line, keyPath, "unknown key"})
		return
	}
	c.checkKeys(value.Value, fieldT, keyPath)
}

// fieldType returns the type of a struct's field by its yaml tag.
func fieldType(t reflect.Type, key string) (reflect.Type, bool) {
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

// addFault adds a fault at a path. Its line is that of the path or, if the file doesn't
// contain the path, of its nearest ancestor.
func (c *checker) addFault(path, format string, args ...any) {
	line := 1
	for ancestor := path; ancestor != "$"; ancestor = ancestor[:strings.LastIndexAny(ancestor, ".[")] {
		if ancestorLine, ok := c.lineOf(ancestor); ok {
			line = ancestorLine
			break
		}
	}
	c.faults = append(c.faults, Fault{c.file, line, path, fmt.Sprintf(format, args...)})
}

// lineOf returns the line of a path, and whether the file contains it.
func (c *checker) lineOf(path string) (int, bool) {
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

// checkSettings checks the values of a Settings.
func (c *checker) checkSettings(s Settings) {
	if s.Association == "" {
		c.addFault("$.association", "is missing")
	}
	if len(s.Hosts) == 0 {
		c.addFault("$.hosts", "is missing")
	}
	c.checkLimits(s)
	names := map[string]int{}
	addresses := map[string]string{}
	regions := map[string]string{}
	for i, h := range s.Hosts {
		path := fmt.Sprintf("$.hosts[%d]", i)
		if first, ok := names[h.Name]; ok {
			c.addFault(path+".name", "%q is already the name of hosts[%d]", h.Name, first)
		}
		names[h.Name] = i
		c.checkHost(path, h, regions)
		c.checkAddresses(path, h, addresses)
	}
	if voters := len(s.Voters()); voters > 0 && voters%2 == 0 {
		c.addFault("$.hosts", "an even number of voters, %d, tolerates no more losses than one fewer", voters)
	}
}

// checkHost checks a host's values, without its listen addresses. regions maps the data
// centres of earlier hosts to their regions.
func (c *checker) checkHost(path string, h Host, regions map[string]string) {
	if h.Name == "" {
		c.addFault(path+".name", "is missing")
	}
	if h.Region == "" {
		c.addFault(path+".region", "is missing")
	}
	if h.DataCentre == "" {
		c.addFault(path+".data_centre", "is missing")
	}
	if region, ok := regions[h.DataCentre]; ok && region != h.Region {
		c.addFault(path+".region", "data centre %q is in region %q above", h.DataCentre, region)
	}
	regions[h.DataCentre] = h.Region
	if h.Voter && !h.Disk {
		c.addFault(path+".voter", "a voter needs a disk")
	}
	if _, err := netip.ParseAddr(h.WideArea); h.WideArea != "" && err != nil {
		c.addFault(path+".wide_area", "must be an IP address, is %q", h.WideArea)
	}
}

// checkAddresses checks a host's addresses. seen maps the addresses of earlier hosts to
// their paths.
func (c *checker) checkAddresses(path string, h Host, seen map[string]string) {
	fields := []struct{ key, value string }{
		{"callers", h.Callers},
		{"handover", h.Handover},
		{"control", h.Control},
		{"operators", h.Operators},
	}
	for _, f := range fields {
		keyPath := path + "." + f.key
		if _, err := netip.ParseAddrPort(f.value); err != nil {
			c.addFault(keyPath, "must be an IP address and a port, is %q", f.value)
			continue
		}
		if other, ok := seen[f.value]; ok {
			c.addFault(keyPath, "%s is already used at %s", f.value, other)
		}
		seen[f.value] = keyPath
	}
}

func (c *checker) checkLimits(s Settings) {
	l, t := s.Limits, s.Control
	positive := []struct {
		path string
		ok   bool
	}{
		{"$.limits.header_bytes", l.HeaderBytes > 0},
		{"$.limits.body_bytes", l.BodyBytes > 0},
		{"$.limits.in_flight", l.InFlight > 0},
		{"$.limits.header_time", l.HeaderTimeout > 0},
		{"$.limits.request_time", l.RequestTime > 0},
		{"$.limits.slow_caller_time", l.SlowCallerTimeout > 0},
		{"$.limits.stop_time", l.StopTime > 0},
		{"$.control.heartbeat", t.HeartbeatInterval > 0},
		{"$.control.decide", t.DecideTimeout > 0},
	}
	for _, p := range positive {
		if !p.ok {
			c.addFault(p.path, "must be more than 0")
		}
	}
	if t.ElectionTimeout < 3*t.HeartbeatInterval {
		c.addFault("$.control.election", "must be at least 3 heartbeats")
	}
	if t.LeaseTime < 2*t.HeartbeatInterval {
		c.addFault("$.control.lease", "must be at least 2 heartbeats")
	}
}
