// Package raft decides the order of a replicated log.
//
// It is the Raft algorithm (Ongaro and Ousterhout, "In search of an
// understandable consensus algorithm", 2014; Ongaro's dissertation for
// membership, pre-vote and leases) as a pure state machine: a Node is told the
// time and the messages that arrive, and answers with what must be made
// durable, what must be sent after that, and what may be applied. It starts no
// goroutine, touches no disk and no network, and uses only the random numbers
// that it is given, so that a test replays any history from a seed.
//
// Beyond the basic algorithm:
//
//   - Pre-vote: a voter that was cut off can't depose a leader on its return.
//   - Check quorum: a leader that has heard from no majority for an election
//     timeout steps down. A voter that has heard from a leader within that time
//     grants no vote. Together they give the leader a lease, on which the
//     configuration's leases rest. A voter that has just started waits one
//     election timeout before it votes, for it has forgotten whom it heard.
//   - Membership changes one voter at a time, by learners that have caught up.
//     A new leader starts none before it has committed an entry of its term.
//   - Read index: a read is confirmed by a round of messages to a majority.
package raft
