// This file defines the objects that a settings file declares: the hosts with
// their data centres and regions.

package settings

import "github.com/linenscale/linenscale/declare"

// Object gives the declaration of a host.
func (h Host) Object() declare.Host {
	return declare.Host{
		Name: h.Name, DataCentre: h.DataCentre, Callers: h.Callers, Handover: h.Handover,
		Control: h.Control, Operators: h.Operators, WideArea: h.WideArea,
	}
}

// Objects gives the regions, data centres and hosts of the settings.
func (s Settings) Objects() []declare.Object {
	var out []declare.Object
	seen := map[declare.Ref]bool{}
	add := func(object declare.Object) {
		if !seen[object.Ref()] {
			seen[object.Ref()] = true
			out = append(out, object)
		}
	}
	for _, h := range s.Hosts {
		add(declare.Region{Name: h.Region})
		add(declare.DataCentre{Name: h.DataCentre, Region: h.Region})
		add(h.Object())
	}
	return out
}
