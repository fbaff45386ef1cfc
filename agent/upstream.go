// This file defines how calls reach the leader: through a relay in this data centre, or
// directly.

package agent

import (
	"context"
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/leader"
	"github.com/linenscale/linenscale/settings"
)

// Limits of calls to other hosts.
const (
	// localCallTimeout applies within the region, remoteCallTimeout to other regions.
	localCallTimeout  = 400 * time.Millisecond
	remoteCallTimeout = 1200 * time.Millisecond
	// exclusionTime is how long a host is excluded after a failed call.
	exclusionTime = 3 * time.Second
	// maxHops is the number of relays that a message may pass.
	maxHops = 1
)

// errNoLeader is returned when no candidate leads or forwards to the leader.
var errNoLeader = errors.New("no leader can be reached")

// candidate is a host that may be the leader or forward to it.
type candidate struct {
	host  string
	relay bool // whether the host is called as a relay
}

// leaderCandidates returns the hosts to call, in order: the relay, the last known leader,
// then the other hosts with a disk. The relay is left out if the message has passed one
// already, or if this host precedes all available ones in order of names.
func (a *Agent) leaderCandidates(hops int) []candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := steady.Time()
	available := func(name string) bool { return !now.Before(a.excludedUntil[name]) }
	var out []candidate
	if hops < maxHops {
		for _, h := range a.dataCentreHosts() {
			if h == a.Host.Name {
				break
			}
			if available(h) {
				out = append(out, candidate{h, true})
				break
			}
		}
	}
	if a.leader != "" && a.leader != a.Host.Name && available(a.leader) {
		out = append(out, candidate{a.leader, false})
	}
	for _, h := range a.Settings.Hosts {
		if h.Disk && h.Name != a.leader && h.Name != a.Host.Name && available(h.Name) {
			out = append(out, candidate{h.Name, false})
		}
	}
	return out
}

// dataCentreHosts returns the names of this data centre's hosts, sorted. The caller holds
// the lock.
func (a *Agent) dataCentreHosts() []string {
	var out []string
	for _, h := range declare.ObjectsOf[declare.Host](a.holder.View().Config) {
		if h.DataCentre == a.Host.DataCentre && h.State != declare.HostTerminated {
			out = append(out, h.Name)
		}
	}
	if len(out) == 0 { // no configuration has been received yet
		for _, h := range a.Settings.Hosts {
			if h.DataCentre == a.Host.DataCentre {
				out = append(out, h.Name)
			}
		}
	}
	sort.Strings(out)
	return out
}

// controlAddress returns the control address at which this host reaches another, and the
// timeout of a call. It returns false if the host is unknown.
func (a *Agent) controlAddress(name string) (string, time.Duration, bool) {
	a.mu.Lock()
	config := a.holder.View().Config
	a.mu.Unlock()
	if object, ok := config.Get(declare.Ref{Kind: declare.KindHost, Name: name}); ok {
		host := object.(declare.Host)
		if config.RegionOf(host.DataCentre) == a.Host.Region {
			return host.Control, localCallTimeout, true
		}
		return host.AddressFromOtherRegion(host.Control), remoteCallTimeout, true
	}
	host, err := a.Settings.Host(name)
	if err != nil {
		return "", 0, false
	}
	return ControlAddress(a.Host, host)
}

// ControlAddress returns the control address at which one host of the settings reaches another,
// and the timeout of a call. The last result is always true.
func ControlAddress(from, to settings.Host) (string, time.Duration, bool) {
	if from.Region == to.Region {
		return to.Control, localCallTimeout, true
	}
	return to.Declaration().AddressFromOtherRegion(to.Control), remoteCallTimeout, true
}

// exclude excludes a host from the candidates for exclusionTime.
func (a *Agent) exclude(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.excludedUntil[name] = steady.Time().Add(exclusionTime)
}

func (a *Agent) recordLeader(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leader = name
}

// callLeader calls this host's own Leader, then the candidates in order, until one
// handles the call as the leader or for it. local calls this host's Leader and remote
// another host; both return a *leader.NotLeader if that host does not lead. wait is
// added to the timeout of a remote call. If no host handles the call, callLeader returns
// errNoLeader.
func (a *Agent) callLeader(ctx context.Context, hops int, wait time.Duration, local func() *leader.NotLeader, remote func(ctx context.Context, target candidate, address string) (*leader.NotLeader, error)) error {
	if a.Leader != nil {
		redirect := local()
		if redirect == nil {
			a.recordLeader(a.Host.Name)
			return nil
		}
		if redirect.Leader != "" {
			a.recordLeader(redirect.Leader)
		}
	}
	if hops > maxHops {
		return errNoLeader // it has passed the last relay: only the leader may handle it
	}
	tried := map[string]bool{}
	for _, target := range a.leaderCandidates(hops) {
		if a.tryCandidate(ctx, target, wait, tried, remote) {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return errNoLeader
}

// tryCandidate calls one host and, if that host redirects to another, the named leader. It
// reports whether one of them handled the call.
func (a *Agent) tryCandidate(ctx context.Context, target candidate, wait time.Duration, tried map[string]bool, remote func(ctx context.Context, target candidate, address string) (*leader.NotLeader, error)) bool {
	for range 2 {
		address, timeout, ok := a.controlAddress(target.host)
		if !ok || tried[target.host] {
			return false
		}
		tried[target.host] = true
		if target.relay {
			timeout += remoteCallTimeout // the relay calls the leader in turn
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout+wait)
		redirect, err := remote(callCtx, target, address)
		cancel()
		switch {
		case err != nil:
			if ctx.Err() == nil {
				a.exclude(target.host)
			}
			return false
		case redirect == nil:
			if !target.relay {
				a.recordLeader(target.host)
			}
			return true
		case redirect.Leader == "" || redirect.Leader == a.Host.Name:
			return false
		}
		target = candidate{redirect.Leader, false}
	}
	return false
}
