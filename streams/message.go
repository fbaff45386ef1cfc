// This file defines the messages that gateways exchange about streams.

package streams

// Message is one datagram between gateways. Any part may be missing.
type Message struct {
	Records   []Record   `cbor:"1,keyasint,omitempty"`
	Questions []Question `cbor:"2,keyasint,omitempty"`
	Answers   []Answer   `cbor:"3,keyasint,omitempty"`
}

// Record says where one stream began.
type Record struct {
	Stream    Key    `cbor:"1,keyasint"`
	Service   string `cbor:"2,keyasint"`
	Version   string `cbor:"3,keyasint,omitempty"`
	KeepForMS int64  `cbor:"4,keyasint"` // for so long its caller may still resume it
}

// Question asks a gateway where a stream began.
type Question struct {
	Number  uint64 `cbor:"1,keyasint"` // repeated in the answer
	Stream  Key    `cbor:"2,keyasint"`
	ReplyTo string `cbor:"3,keyasint"` // address of the asking gateway
}

// Answer answers a Question.
type Answer struct {
	Number uint64 `cbor:"1,keyasint"`
	From   string `cbor:"2,keyasint"` // name of the answering gateway
	// Known is false if the gateway has no record of the stream.
	Known   bool   `cbor:"3,keyasint,omitempty"`
	Service string `cbor:"4,keyasint,omitempty"`
	Version string `cbor:"5,keyasint,omitempty"`
	// Contested says that the gateway has records that contradict each other.
	Contested bool `cbor:"6,keyasint,omitempty"`
}

// maxRecordsPerMessage keeps a message with records within one packet of a common network.
const maxRecordsPerMessage = 12
