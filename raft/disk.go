// This file defines what a Node knows of its disk: while its caller waits for it, the node
// can neither receive messages nor send any.

package raft

import (
	"slices"
	"time"
)

// voterSyncs is how many syncs of its disk a voter may need before it can reply: the one that
// it is busy with, and that of its vote.
const voterSyncs = 2

// NeedsDisk reports whether anything must be made durable.
func (r Ready) NeedsDisk() bool {
	return r.Hard != nil || r.Install != nil || len(r.Entries) > 0
}

// maxDiskTimeouts limits the time that a disk is taken to need, in election timeouts. A write that
// was refused for minutes says nothing of the next one, and a pre-candidate writes nothing that
// would correct it.
const maxDiskTimeouts = 2

// Resume tells the node that its caller was busy with its disk until now. Meanwhile the
// node could neither receive messages nor send any, so that this was no time without a
// leader, nor one in which votes or acknowledgements were due.
func (n *Node) Resume(now time.Time) {
	began := n.now
	n.advanceClock(now)
	n.electionDeadline = n.electionDeadline.Add(n.now.Sub(began))
	n.diskTime = max(n.now.Sub(began), n.diskTime/2) // one fast sync may be chance
	n.diskTime = min(n.diskTime, maxDiskTimeouts*n.opts.ElectionTimeout)
	if n.role == Leader && n.now.Sub(began) > n.opts.HeartbeatInterval {
		n.blocked = append(n.blocked, interval{began, n.now})
	}
}

// lostQuorum reports whether the leader has listened for too long without the
// acknowledgement of a majority. Time in which its disk blocked it doesn't count, up to what
// voters may need to reply: a leader with a busy disk that receives nothing would keep its
// followers for ever. Where leases rest on it, all time counts.
func (n *Node) lostQuorum() bool {
	acked := n.quorumAckTime()
	silence := n.now.Sub(acked)
	if n.opts.SkipLeaseWait {
		silence -= min(n.blockedSince(acked), voterSyncs*n.diskTime)
	}
	return silence > n.quorumTimeout()
}

// interval is a time from start to end.
type interval struct{ start, end time.Time }

// blockedSince returns how long the disk blocked this leader since then, and forgets what
// was before.
func (n *Node) blockedSince(since time.Time) time.Duration {
	n.blocked = slices.DeleteFunc(n.blocked, func(b interval) bool { return !b.end.After(since) })
	var total time.Duration
	for _, b := range n.blocked {
		start := b.start
		if start.Before(since) {
			start = since
		}
		total += b.end.Sub(start)
	}
	return total
}
