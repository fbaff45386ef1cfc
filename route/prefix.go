// This file defines the estimate of which engine holds which prompt prefix.

package route

// maxHolders is how many engines are remembered for one prefix.
const maxHolders = 4

// Holders lists engines as their index plus one; 0 is an empty place.
type Holders [maxHolders]int32

// PrefixIndex remembers where prefixes were sent, in bounded memory: two
// generations of at most size entries, of which the older is dropped when the
// younger is full. The index is a guess: engines evict on their own, and their
// events come late and with gaps.
type PrefixIndex struct {
	size         int
	young, older map[uint64]Holders
}

// NewPrefixIndex makes an index of at most 2*size prefixes.
func NewPrefixIndex(size int) *PrefixIndex {
	return &PrefixIndex{size: size, young: make(map[uint64]Holders), older: make(map[uint64]Holders)}
}

// Holders gives the engines believed to hold the prefix.
func (x *PrefixIndex) Holders(prefix uint64) Holders {
	if h, ok := x.young[prefix]; ok {
		return h
	}
	return x.older[prefix]
}

// Add notes that an engine has read the prompt of these prefixes. The engine
// noted longest ago falls out.
func (x *PrefixIndex) Add(chain []uint64, engine int) {
	for _, prefix := range chain {
		holders := x.Holders(prefix)
		at := maxHolders - 1
		for i, h := range holders {
			if h == int32(engine+1) {
				at = i
				break
			}
		}
		copy(holders[1:at+1], holders[:at])
		holders[0] = int32(engine + 1)
		x.put(prefix, holders)
	}
}

// Remove notes that an engine has evicted a prefix.
func (x *PrefixIndex) Remove(prefix uint64, engine int) {
	holders := x.Holders(prefix)
	for i, h := range holders {
		if h == int32(engine+1) {
			copy(holders[i:], holders[i+1:])
			holders[maxHolders-1] = 0
			x.put(prefix, holders)
			return
		}
	}
}

// Len gives the number of entries, those in both generations counted twice.
func (x *PrefixIndex) Len() int { return len(x.young) + len(x.older) }

func (x *PrefixIndex) put(prefix uint64, holders Holders) {
	if len(x.young) >= x.size {
		x.older, x.young = x.young, make(map[uint64]Holders, x.size)
	}
	x.young[prefix] = holders
}
