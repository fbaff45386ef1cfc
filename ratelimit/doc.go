// Package ratelimit keeps all gateways together within the request rate that an engine
// accepts.
//
// An overloaded engine names a limit in its responses: the requests per second that it
// accepts from all gateways together, for as long as the limit holds. A gateway
// receives reports of the others' requests some tenths of a second late, and the limit may
// be one request per second for hundreds of gateways. Nine gateways that added up each
// other's reports sent 5.9 times as much as an engine accepted (TestSharingStrategies). So
// gateways do not count each other's requests. Each has a fixed share of the limit, which
// all compute alike from the names of the region's gateways and the limit:
//
//   - A small limit is shared by few gateways, with one request per second each, so that a
//     gateway that has a share receives enough requests to use it. All gateways choose the
//     same ones, by rendezvous hashing.
//   - A new gateway gets its share as soon as it is listed. The share of one that is gone
//     stays unused for a while. So gateways whose lists differ hand out too little rather
//     than too much.
//   - A share refills evenly, and only part of what is unused accumulates.
//
// A Table holds the limits that this gateway has read in responses or received from other
// gateways. The latest signal is effective. One that raises or lifts a limit counts from
// when its request was sent: responses overtake each other, and one to a request from
// before the engine named its limit must not lift it. A restarted engine counts as a new
// one.
//
// A Table has no clock, goroutine or network of its own, and identifies engines and
// gateways by hashes only.
package ratelimit
