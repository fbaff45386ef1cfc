// Package standin holds small stand-ins for the systems around linenscale: model engines,
// plain services, the platform's list of hosts and the wide-area network between regions.
// Tests, the lab and the demo use them.
//
// They speak the protocols that docs/PROTOCOLS.md describes. They have just the behaviour
// that matters to routing (batching, a bounded prefix cache, load reports that lag, cache
// events with gaps), and fail on command.
package standin
