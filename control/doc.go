// Package control holds the configuration as a replicated state machine, and
// decides when a change is in force.
//
// A change goes through the log twice. First as proposed: hosts that learn of
// it acknowledge it, which means that from then on they serve only what both
// the old and the new configuration permit. Then as decided: accepted, when in
// each data centre that it matters to a majority of the hosts has acknowledged
// it and the leases of the others have run out; or refused, when some data
// centre can't be reached in time. Since both steps are entries of one log,
// they are decided by the log alone, whichever leader asks, and a proposed
// change that a lost leader left behind is decided by the next.
//
// State is the state machine. Tally is what a leader knows of the hosts, and
// decides from it. Both are plain values without goroutines or clocks.
package control
