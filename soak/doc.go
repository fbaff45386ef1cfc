// Package soak runs the real programs as separate processes on one machine, does
// them harm from outside, and checks all the while what callers, engines and
// operators were promised.
//
// A World is a small deployment: in each region a control host, some gateways
// and some engines. Every host is reached through a proxy on a loopback address
// of its own, which can delay, cut one way or both, and reset; processes are
// stopped, paused, killed and started by signals; control hosts lose their data
// folders. The harm is drawn from a seed, comes in series and overlaps. Callers
// and operators go on meanwhile.
//
// A Checker holds the promises. What it finds names the request, so that the
// processes' logs, which are kept, lead to its cause.
package soak
