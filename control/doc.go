// Package control replicates the configuration as a state machine over a Raft log
// and decides when a change becomes effective.
//
// A change takes two log entries. The first proposes it. Each host that receives
// the proposal acknowledges it and from then on serves only what both the old and
// the new configuration permit. The second entry decides it. The change is accepted
// once, in every data centre that it affects, a majority of the hosts has
// acknowledged it and the leases of the other hosts have expired. It is refused if
// some data centre stays without a majority until the timeout. Because both steps
// are entries of the same log, the log alone orders them, whichever leader proposes
// them, and a new leader decides a change that its predecessor left pending.
//
// State is the replicated state machine. A leader also keeps a record of the hosts'
// reports, from which it derives its decisions. Both are plain values without goroutines
// or clocks.
package control
