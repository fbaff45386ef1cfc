// Package rollup lets every gateway of a region know the sum of what all of them do,
// soon and at a cost that hardly grows with their number.
//
// The gateways of a data centre form groups of up to sixteen by the hash of their
// names, and every group has a leader, the gateway that all rank first. Ten times a
// second each gateway tells its leader its own Report; a leader tells the leaders of
// the region's other groups the sum of its group, and its members the sum of all. So
// what a gateway does is known everywhere within 0.3 s, a member sends and receives
// ten messages a second, and a leader some forty for each ten groups and members. If
// each told all others, as few gateways do, each of 100 would send and receive 1,000.
//
// Nobody is elected. Whoever is told reports sums them, and those who hear nothing from
// the first in rank tell the next as well, so that a leader that is killed, frozen or
// cut off is replaced within 0.4 s. Nothing counts twice meanwhile: a sum says which
// range of hashes it is of, and of sums whose ranges overlap only one is held.
package rollup
