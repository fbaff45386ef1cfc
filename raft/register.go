package raft

import "encoding/gob"

// RegisterMessages makes every Message known to encoding/gob, by which
// envelopes travel between processes. It may be called any number of times.
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
