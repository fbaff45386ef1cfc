package raft

// entryLog is the log in memory: the latest snapshot and the entries after it.
type entryLog struct {
	snapshot Snapshot
	entries  []Entry // entries[0].Index == snapshot.Index+1
}

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index. It returns false if the entry was compacted
// away or is beyond the end of the log.
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

// slice returns at most count entries, starting at index.
func (l *entryLog) slice(index uint64, count int) []Entry {
	if index <= l.snapshot.Index || index > l.lastIndex() {
		return nil
	}
	from := int(index - l.snapshot.Index - 1)
	to := min(len(l.entries), from+count)
	// Limit the capacity, so that a later append can't write into a slice that a message
	// still refers to.
	return l.entries[from:to:to]
}

// append truncates the log before the index of the first new entry, then appends entries.
func (l *entryLog) append(entries ...Entry) {
	if len(entries) == 0 {
		return
	}
	keep := int(entries[0].Index - l.snapshot.Index - 1)
	l.entries = append(l.entries[:keep:keep], entries...)
}

// compact replaces the entries up to the snapshot's index by the snapshot. It ignores a
// snapshot that isn't newer than the current one.
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

// latestMembership returns the last membership in the log, committed or not, and its index.
func (l *entryLog) latestMembership() (Membership, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Kind == EntryMembership {
			return *l.entries[i].Members, l.entries[i].Index
		}
	}
	return l.snapshot.Members, l.snapshot.Index
}
