// This file converts the hosts of a settings file, with their data centres and regions,
// to declared objects.

package settings

import "github.com/linenscale/linenscale/declare"

// Declaration returns the declaration of the host.
func (h Host) Declaration() declare.Host {
	return declare.Host{
		Name: h.Name, DataCentre: h.DataCentre, Callers: h.Callers, Handover: h.Handover,
		Control: h.Control, Operators: h.Operators, WideArea: h.WideArea,
	}
}

// HostDeclarations returns the declarations of the regions, data centres and hosts of the
// settings, each once.
func (s Settings) HostDeclarations() []declare.Object {
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
		add(h.Declaration())
	}
	return out
}
