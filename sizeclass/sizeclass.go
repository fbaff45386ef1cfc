// Package sizeclass decides which engines read the long prompts of a service.
//
// It answers the load of prompts that differ in size by orders of magnitude. While an engine
// reads a long prompt, all its streams are slower than their callers accept, so that a few long
// prompts, spread at random, disturb the streams of all engines. Size-interval task assignment
// (Harchol-Balter, Crovella and Murta, 1999) sends them to a few engines, which other requests
// avoid while there are others.
//
// All gateways compute the same set without asking each other: from the sum of the work that
// each reports, and a ranking by hash. If reports differ or are missing, the sets of two
// gateways differ in the last engines of the ranking; their requests run all the same.
package sizeclass

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// busyShare is the share of its time that an engine of the set reads long prompts. A further
// one then waits for half a reading on average, as in a queue with one server and equal jobs;
// above it, the wait grows fast.
const busyShare = 0.5

// speedPreference is the power of the speed by which engines are weighted. The fast ones, which
// are done with a reading before streams pause for too long, come before nearly all others.
const speedPreference = 6

// IsLong reports whether a prompt whose reading takes so long can make streams pause for too
// long. A reading that takes less in all can't.
func IsLong(read, maxPause time.Duration) bool { return maxPause > 0 && read > maxPause }

// Engine is an engine that may be set apart.
type Engine struct {
	Hash  uint64 // equal on all gateways
	Speed float64
}

// weight returns a positive number by which a set is filled, highest first: weighted
// rendezvous hashing. A change of one engine's speed moves hardly any other.
func (e Engine) weight() float64 {
	uniform := (float64(e.Hash>>11) + 0.5) / (1 << 53)
	return -math.Pow(max(e.Speed, 0), speedPreference) / math.Log(uniform)
}

// Set returns the share of its time that each engine of the set reads long prompts, by its
// index. work is the reading of all long prompts, in seconds of an engine of speed 1 per
// second. The last engine takes what is left, so that the set changes smoothly with the work.
func Set(engines []Engine, work float64) map[int]float64 {
	if work <= 0 {
		return nil
	}
	order, weights := make([]int, len(engines)), make([]float64, len(engines))
	for i, e := range engines {
		order[i], weights[i] = i, e.weight()
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(engines[a].Hash, engines[b].Hash))
	})
	set := make(map[int]float64)
	for _, i := range order {
		if engines[i].Speed <= 0 {
			continue
		}
		share := min(busyShare, work/engines[i].Speed)
		set[i] = share
		if work -= share * engines[i].Speed; work <= 1e-9 {
			break
		}
	}
	return set
}

// MeetsReading returns the probability that a stream meets a reading long enough to delay it for
// too long, on an engine that spends the given share of its time on reading. Each takes longer
// than maxPause, which bounds how many begin during the stream.
func MeetsReading(busy float64, stream, maxPause time.Duration) float64 {
	if busy <= 0 || maxPause <= 0 {
		return 0
	}
	begun := busy * float64(stream) / float64(maxPause)
	return busy + (1-busy)*(1-math.Exp(-begun))
}
