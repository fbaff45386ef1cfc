// This file defines the index of the prompt prefixes that engines have cached.

package route

// maxHolders is the number of engines recorded per prefix.
const maxHolders = 4

// Holders lists the engines that have a prefix cached, most recently recorded
// first. An entry is the engine's index plus one; 0 is an unused entry.
type Holders [maxHolders]int32

// PrefixIndex records which engines received which prompt prefixes. Its memory
// is bounded: it has two generations of at most size entries, and when the
// current one is full, the previous one is dropped. The index is an estimate:
// engines evict blocks on their own, and their eviction events arrive late and
// with gaps.
type PrefixIndex struct {
	size              int
	current, previous map[uint64]Holders
}

// NewPrefixIndex returns an index of at most 2*size prefixes.
func NewPrefixIndex(size int) *PrefixIndex {
	return &PrefixIndex{size: size, current: make(map[uint64]Holders), previous: make(map[uint64]Holders)}
}

// Holders returns the engines that probably have the prefix cached.
func (x *PrefixIndex) Holders(prefix uint64) Holders {
	if h, ok := x.current[prefix]; ok {
		return h
	}
	return x.previous[prefix]
}

// Add records that an engine has processed a prompt with these prefixes. If a
// prefix has too many holders, the one recorded longest ago is dropped.
func (x *PrefixIndex) Add(chain []uint64, engine int) {
	for _, prefix := range chain {
		holders := x.Holders(prefix)
		pos := maxHolders - 1
		for i, h := range holders {
			if h == int32(engine+1) {
				pos = i
				break
			}
		}
		copy(holders[1:pos+1], holders[:pos])
		holders[0] = int32(engine + 1)
		x.put(prefix, holders)
	}
}

// Remove records that an engine has evicted a prefix.
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

// Len returns the number of entries. A prefix that is in both generations
// counts twice.
func (x *PrefixIndex) Len() int { return len(x.current) + len(x.previous) }

func (x *PrefixIndex) put(prefix uint64, holders Holders) {
	if len(x.current) >= x.size {
		x.previous, x.current = x.current, make(map[uint64]Holders, x.size)
	}
	x.current[prefix] = holders
}
