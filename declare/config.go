package declare

import (
	"encoding/json"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Change is an atomic step from one configuration to the next. Config.Apply applies it.
type Change struct {
	// ID is chosen by the client, which resends a change under the same ID.
	ID string `json:"id"`
	// Base is the revision of the configuration that the change was derived from.
	Base    uint64     `json:"base"`
	Author  string     `json:"author,omitempty"`
	Puts    []Envelope `json:"puts,omitempty"`
	Deletes []Ref      `json:"deletes,omitempty"`
}

// Digest returns a hash of the change, which distinguishes two different changes that
// were submitted under the same ID.
func (c Change) Digest() uint64 {
	data, err := json.Marshal(c)
	if err != nil {
		return 0 // unreachable: every field of a Change marshals
	}
	return xxhash.Sum64(data)
}

// Config is an immutable, validated set of objects. The zero value is the empty
// configuration, at revision 0.
type Config struct {
	revision uint64
	objects  map[Ref]Object
}

// Revision returns the number of changes that were applied to the empty configuration to
// arrive at this one.
func (c Config) Revision() uint64 { return c.revision }

// Get returns the object with the given kind and name.
func (c Config) Get(ref Ref) (Object, bool) {
	object, ok := c.objects[ref]
	return object, ok
}

// Objects returns all objects, sorted by kind and name.
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

// ObjectsOf returns all objects of type T, sorted by name.
func ObjectsOf[T Object](c Config) []T {
	var all []T
	for _, object := range c.objects {
		if typed, ok := object.(T); ok {
			all = append(all, typed)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Ref().Name < all[j].Ref().Name })
	return all
}

// RegionOf returns the region of a data centre, or "" if the data centre is not declared.
func (c Config) RegionOf(dataCentre string) string {
	object, ok := c.objects[Ref{KindDataCentre, dataCentre}]
	if !ok {
		return ""
	}
	return object.(DataCentre).Region
}

// Service returns the service with the given name.
func (c Config) Service(name string) (Service, bool) {
	object, ok := c.objects[Ref{KindService, name}]
	if !ok {
		return Service{}, false
	}
	return object.(Service), true
}

// Apply returns the configuration after a change, at the next revision; c is not modified.
// It applies deletes before puts. If the result is invalid, the whole change is rejected
// with a *InvalidError that lists every fault. Deleting an object that doesn't exist is
// errors.NotFound.
func (c Config) Apply(change Change) (Config, error) {
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
	if faults := validate(next); len(faults) > 0 {
		return Config{}, &InvalidError{Faults: faults}
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

// UnmarshalJSON decodes the output of MarshalJSON. It doesn't validate the objects again.
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
