// Package rollup aggregates reports among the gateways of a region, so that every
// gateway has a recent sum of what all of them do. The cost per gateway grows slowly
// with their number.
//
// The gateways of a data centre form groups by the hash of their names, of about the square
// root of the region's gateways and sixteen at most. Every group has a leader: the gateway
// with the highest rank, which all gateways compute alike. Ten times a second each gateway
// sends its own Report to its leader. A leader sends the sum of its group to the leaders of
// the region's other groups, and the sum of the region to the members of its group. A change
// thus reaches every gateway within 0.3 s. A member sends and receives ten messages a second.
// A leader sends and receives ten for each other leader and each member of its group; of 100
// gateways, the busiest leader sends and receives 240. Up to nine gateways send their reports
// to each other directly; if 100 gateways did that, each would send and receive 1,000.
//
// There is no election. A gateway that receives reports sums them, and a gateway that
// receives nothing from its highest-ranked leader sends its report to the next candidate
// too. A leader that is killed, paused or partitioned is therefore replaced within 0.4 s.
// No report is counted twice meanwhile: a sum names the range of hashes that it covers,
// and of sums with overlapping ranges only one is retained.
package rollup
