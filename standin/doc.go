// Package standin holds small stand-ins for what linenscale meets: model
// engines, plain services, the platform's list of hosts, the weights store and
// the wide-area network between regions.
//
// They speak the protocols that docs/PROTOCOLS.md describes, keep just enough
// behaviour to matter to routing (batching, a bounded prefix cache, load
// reports that lag, cache events with gaps), and break on command.
package standin
