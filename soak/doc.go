// Package soak is a fault-injection test: it runs the real programs as separate processes
// on one machine, injects faults from outside, and checks that callers, engines and
// operators still get what linenscale guarantees them.
//
// A World is a small deployment: in each region a control host, some gateways and some
// engines. Every host is reached through a proxy on a loopback address of its own. The
// proxy can delay traffic, partition hosts in one or both directions, and reset
// connections. Processes are stopped, paused, killed and started by signals, and control
// hosts lose their data folders. Faults are drawn from a seed, follow each other and
// overlap, while callers and operators continue to send requests.
//
// A Checker collects the violations. Each names the request or host concerned, so that its
// cause can be found in the logs of the processes, which are kept.
package soak
