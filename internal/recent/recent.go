// Package recent indexes items by the version of their last change, so that the items
// changed after a given version are found without a scan of all items.
package recent

import (
	"cmp"
	"iter"
	"slices"
)

// Log orders items by the version of their last change. The zero value is empty. It is
// not safe for concurrent use.
type Log[T comparable] struct {
	changes []change[T] // in ascending order of version; an item may occur several times
	latest  map[T]uint64
}

type change[T comparable] struct {
	version uint64
	item    T
}

// maxSuperseded is how many superseded changes the log retains, beyond as many as there are
// items, before it compacts.
const maxSuperseded = 64

// Record records that an item has changed. Versions must ascend from call to call.
func (l *Log[T]) Record(item T, version uint64) {
	if l.latest == nil {
		l.latest = make(map[T]uint64)
	}
	l.latest[item] = version
	l.changes = append(l.changes, change[T]{version, item})
	if len(l.changes) > 2*len(l.latest)+maxSuperseded {
		l.changes = slices.DeleteFunc(l.changes, func(c change[T]) bool { return l.latest[c.item] != c.version })
	}
}

// Remove removes an item, which ChangedSince then no longer returns.
func (l *Log[T]) Remove(item T) { delete(l.latest, item) }

// ChangedSince returns the items whose last change has a version above the given one, each
// once, the most recently changed first.
func (l *Log[T]) ChangedSince(version uint64) []T {
	var out []T
	for _, c := range slices.Backward(l.changes) {
		if c.version <= version {
			break
		}
		if l.latest[c.item] == c.version {
			out = append(out, c.item)
		}
	}
	return out
}

// After returns the items whose last change has a version above the given one, each once, in
// the order of these changes, with their versions. The log must not change meanwhile.
func (l *Log[T]) After(version uint64) iter.Seq2[uint64, T] {
	first, _ := slices.BinarySearchFunc(l.changes, version+1, func(c change[T], v uint64) int { return cmp.Compare(c.version, v) })
	return func(yield func(uint64, T) bool) {
		for _, c := range l.changes[first:] {
			if l.latest[c.item] == c.version && !yield(c.version, c.item) {
				return
			}
		}
	}
}
