package declare

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Change is one atomic step from a configuration to the next.
type Change struct {
	// ID is chosen by whoever asks; a resent change has the same ID.
	ID string `json:"id"`
	// Base is the revision that the change was made from.
	Base    uint64     `json:"base"`
	Author  string     `json:"author,omitempty"`
	Puts    []Envelope `json:"puts,omitempty"`
	Deletes []Ref      `json:"deletes,omitempty"`
}

// Digest tells two changes with one ID apart.
func (c Change) Digest() uint64 {
	data, err := json.Marshal(c)
	if err != nil {
		return 0 // unreachable: every field of a Change marshals
	}
	return xxhash.Sum64(data)
}

// Config is an immutable, checked set of objects. The zero value is the empty
// configuration of revision 0.
type Config struct {
	revision uint64
	objects  map[Ref]Object
}

// Revision counts the accepted changes that led to this configuration.
func (c Config) Revision() uint64 { return c.revision }

// Get gives one object.
func (c Config) Get(ref Ref) (Object, bool) {
	object, ok := c.objects[ref]
	return object, ok
}

// Objects gives all objects in order of kind and name.
func (c Config) Objects() []Object {
	all := make([]Object, 0, len(c.objects))
	for _, object := range c.objects {
		all = append(all, object)
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i].Ref(), all[j].Ref()
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Name < b.Name
	})
	return all
}

// Each gives the objects of one type in order of their names.
func Each[T Object](c Config) []T {
	var all []T
	for _, object := range c.objects {
		if one, ok := object.(T); ok {
			all = append(all, one)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Ref().Name < all[j].Ref().Name })
	return all
}

// RegionOf gives the region of a data centre, or "" where it is not declared.
func (c Config) RegionOf(dataCentre string) string {
	object, ok := c.objects[Ref{KindDataCentre, dataCentre}]
	if !ok {
		return ""
	}
	return object.(DataCentre).Region
}

// Service gives the service of that name.
func (c Config) Service(name string) (Service, bool) {
	object, ok := c.objects[Ref{KindService, name}]
	if !ok {
		return Service{}, false
	}
	return object.(Service), true
}

// With applies a change. The result has the next revision. A change that
// leaves anything wrong is refused whole, as a *FaultsError that names each
// fault.
func (c Config) With(change Change) (Config, error) {
	objects := make(map[Ref]Object, len(c.objects)+len(change.Puts))
	for ref, object := range c.objects {
		objects[ref] = object
	}
	for _, ref := range change.Deletes {
		if _, ok := objects[ref]; !ok {
			return Config{}, errors.NotFoundf("%s, to be deleted,", ref)
		}
		delete(objects, ref)
	}
	for _, put := range change.Puts {
		objects[put.Object.Ref()] = put.Object
	}
	next := Config{revision: c.revision + 1, objects: objects}
	if faults := check(next); len(faults) > 0 {
		return Config{}, &FaultsError{Faults: faults}
	}
	return next, nil
}

type configJSON struct {
	Revision uint64     `json:"revision"`
	Objects  []Envelope `json:"objects"`
}

// MarshalJSON writes the revision and the objects in order.
func (c Config) MarshalJSON() ([]byte, error) {
	out := configJSON{Revision: c.revision}
	for _, object := range c.Objects() {
		out.Objects = append(out.Objects, Envelope{object})
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads what MarshalJSON wrote.
func (c *Config) UnmarshalJSON(data []byte) error {
	var in configJSON
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Annotate(err, "configuration")
	}
	c.revision = in.Revision
	c.objects = make(map[Ref]Object, len(in.Objects))
	for _, e := range in.Objects {
		c.objects[e.Object.Ref()] = e.Object
	}
	return nil
}
