package raft

// entryLog is the log in memory: the entries after a snapshot.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry // entries[0].Index == snapshot.Index+1
}

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term gives the term of an entry; false if the log doesn't hold it any more,
// or not yet.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.snapshot.Index-1].Term, true
	}
}

// slice gives at most count entries from index on.
func (l *entryLog) slice(index uint64, count int) []Entry {
	if index <= l.snapshot.Index || index > l.lastIndex() {
		return nil
	}
	from := int(index - l.snapshot.Index - 1)
	to := min(len(l.entries), from+count)
	// The capacity is cut, so that a later append can't write into a slice
	// that a message still holds.
	return l.entries[from:to:to]
}

// append adds entries, replacing all from the first's index on.
func (l *entryLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - l.snapshot.Index - 1)
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact puts a snapshot in the place of the entries up to its index.
func (l *entryLog) compact(s Snapshot) {
	if s.Index <= l.snapshot.Index {
		return
	}
	if s.Index >= l.lastIndex() {
		l.entries = nil
	} else {
		l.entries = append([]Entry(nil), l.entries[s.Index-l.snapshot.Index:]...)
	}
	l.snapshot = s
}

// members gives the newest membership of the log and its index.
func (l *entryLog) members() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembership {
			return *l.entries[i].Members, l.entries[i].Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}
