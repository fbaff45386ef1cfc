// Package recent remembers things in the order of their last changes, so that what is new
// after a number can be given without looking at everything.
package recent

import "slices"

// Log holds things by the number of their last change. The zero value is empty. It is
// not safe for concurrent use.
type Log[T comparable] struct {
	changes []change[T] // in the order of their numbers; a thing may stand in several
	newest  map[T]uint64
}

type change[T comparable] struct {
	number uint64
	thing  T
}

// slack is how many changes that were overtaken are kept beside those that count.
const slack = 64

// Note says that a thing has changed; numbers rise.
func (l *Log[T]) Note(thing T, number uint64) {
	if l.newest == nil {
		l.newest = make(map[T]uint64)
	}
	l.newest[thing] = number
	l.changes = append(l.changes, change[T]{number, thing})
	if len(l.changes) > 2*len(l.newest)+slack {
		l.changes = slices.DeleteFunc(l.changes, func(c change[T]) bool { return l.newest[c.thing] != c.number })
	}
}

// Forget says that there is no such thing any more.
func (l *Log[T]) Forget(thing T) { delete(l.newest, thing) }

// Since gives the things that have changed after the number, each once, the newest first.
func (l *Log[T]) Since(number uint64) []T {
	var out []T
	for _, c := range slices.Backward(l.changes) {
		if c.number <= number {
			break
		}
		if l.newest[c.thing] == c.number {
			out = append(out, c.thing)
		}
	}
	return out
}
