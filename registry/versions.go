// This file lists the software versions of a service's engines.

package registry

import (
	"maps"
	"slices"
)

// ServedVersion is a version of a service's software that engines of a data centre have or had.
type ServedVersion struct{ DataCentre, Version string }

// Versions returns the versions of a service's engines in the table, those that have ended included.
func (t *Table) Versions(service string) []ServedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := make(map[ServedVersion]struct{})
	for _, e := range t.engines {
		if e.Service == service {
			found[ServedVersion{e.DataCentre, e.Version}] = struct{}{}
		}
	}
	return slices.Collect(maps.Keys(found))
}
