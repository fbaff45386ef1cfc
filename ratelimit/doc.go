// Package ratelimit keeps all gateways together within the requests a second that an engine
// says it takes.
//
// An engine in need names a limit in its answers, for all gateways together, as long as it
// holds. Whatever a gateway learns of what the others send is some tenths of a second old, and
// a limit may be one request a second before hundreds of gateways: nine that added up what
// they told each other sent 5.9 times as much as an engine took (TestOtherWaysOfSharing). So
// nothing is added up. Each gateway has a fixed share instead, which all work out alike from
// the names of the region's gateways and the limit:
//
//   - A small limit is shared by few gateways, a request a second each, so that one which has a
//     share has enough requests to fill it. Which ones they are, all rank alike.
//   - A gateway that comes takes its part as soon as it is heard of; the part of one that
//     goes stays unused for a while. Two gateways that know different lists so share out
//     too little rather than too much.
//   - A share fills evenly, and only some of what isn't used is kept.
//
// A Table holds the limits that this gateway has read in answers or was told of by the Notes
// of others. The newest word holds, and a word that allows more counts from when its request
// was sent: answers pass each other, and one that was begun before the engine named its limit
// must not lift it. An engine that has started again is another one.
//
// A Table has no clock, goroutine or network of its own, and knows engines and gateways by
// their hashes only.
package ratelimit
