// This file defines how the replicas of a region's key log are found.

package agent

import (
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/keyhome"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/voters"
)

var _ keyhome.Resolver = (*Agent)(nil)

// KeyEndpoints implements keyhome.Resolver. It returns the hosts that report leading the
// region's key log, then the region's other hosts.
func (a *Agent) KeyEndpoints(region string) []keyhome.Endpoint {
	view, _ := a.View()
	var leading, others []keyhome.Endpoint
	for _, h := range declare.ObjectsOf[declare.Host](view.Config) {
		if view.Config.RegionOf(h.DataCentre) != region || h.State == declare.HostTerminated {
			continue
		}
		place, ok := a.KeyEndpoint(h.Name)
		switch {
		case !ok:
		case a.leadsKeyLog(h.Name):
			leading = append(leading, place)
		default:
			others = append(others, place)
		}
	}
	return append(leading, others...)
}

// KeyEndpoint implements keyhome.Resolver.
func (a *Agent) KeyEndpoint(host string) (keyhome.Endpoint, bool) {
	address, timeout, ok := a.controlAddress(host)
	return keyhome.Endpoint{Host: host, Address: address, Timeout: timeout}, ok
}

// leadsKeyLog reports whether a host's latest status says that it leads its region's key
// log.
func (a *Agent) leadsKeyLog(host string) bool {
	if host == a.Host.Name {
		_, leads := a.KeyReplica()
		return leads
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	received, ok := a.statuses[host]
	return ok && received.status.KeyLeader && steady.Time().Sub(received.issuedAt) < statusTTL
}

// KeyVoterCandidates returns the replicas of the key log on this region's hosts, as candidate
// voters.
func (a *Agent) KeyVoterCandidates() []voters.Candidate {
	var out []voters.Candidate
	if id, _ := a.KeyReplica(); id != raft.None {
		out = append(out, voters.Candidate{ID: id, Region: a.Host.Region})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, received := range a.statuses {
		if received.status.Region == a.Host.Region && received.status.KeyReplica != raft.None && steady.Time().Sub(received.issuedAt) < statusTTL {
			out = append(out, voters.Candidate{ID: received.status.KeyReplica, Region: received.status.Region})
		}
	}
	return out
}
