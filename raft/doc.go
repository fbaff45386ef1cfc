// Package raft implements the Raft consensus algorithm, which decides the order of the
// entries of a replicated log.
//
// It follows Ongaro and Ousterhout, "In search of an understandable consensus algorithm",
// 2014, and Ongaro's dissertation for membership changes, pre-vote and leases. A Node is a
// pure state machine: its inputs are the time and the messages that arrive, its output is a
// Ready, which lists what to make durable, what to send after that, and what to apply. A
// Node starts no goroutine, does no disk or network I/O and draws random numbers only from
// the given source, so that a test can replay any history from a seed.
//
// Beyond the basic algorithm:
//
//   - Pre-vote: a voter that was partitioned can't depose the leader when it reconnects.
//   - Check quorum: a leader that has received no reply from a majority for an election
//     timeout steps down. A voter that has received a message from a leader within that
//     time grants no vote. Together these two rules give the leader a lease, on which the
//     leases of the configuration rest. A voter that has just started waits one election
//     timeout before it grants a vote, since it has lost the time of its last contact with
//     a leader. Where no lease rests on a log, its leader steps down half an election
//     timeout later.
//   - Resignation: a leader that steps down for the lack of a majority campaigns at once. A
//     voter that receives a request for its vote from the leader of its own term knows that
//     this leader has stepped down, and no longer waits for it. Otherwise heartbeats that a
//     blocked connection delivers late would keep the voters waiting for a leader that
//     doesn't lead. The lease of a leader ends before it steps down.
//   - Split votes: of two pre-candidates with equal logs, one yields to the other.
//   - Slow disks: time in which a replica waits for its disk doesn't count against its
//     timers, a candidate waits for its voters' syncs, and a leader sends its entries before
//     its own sync, after which it counts them.
//   - Membership changes add or remove one voter at a time; a new voter is first a learner
//     that catches up. A new leader starts no change before it has committed an entry of
//     its own term.
//   - Read index: a read is confirmed by one round of messages to a majority.
package raft
