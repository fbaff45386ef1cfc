package raft

import "encoding/gob"

// RegisterMessages registers every Message type with encoding/gob, which encodes the
// envelopes that processes send to each other. It may be called any number of times.
func RegisterMessages() {
	for _, m := range []Message{
		PreVote{},
		PreVoteReply{},
		Vote{},
		VoteReply{},
		Append{},
		AppendReply{},
		Install{},
		TimeoutNow{},
	} {
		gob.Register(m)
	}
}
