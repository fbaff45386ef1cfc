package daemon_test

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/daemon"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/streams"
)

// TestDatagramsOfAnEarlierReleaseAreRead guards against load reports that gateways of two
// releases can't exchange, and messages about streams that an earlier one takes for a report.
func TestDatagramsOfAnEarlierReleaseAreRead(t *testing.T) {
	report := rollup.Message{From: "g1", Members: []rollup.Member{{NameHash: 7, ReportNumber: 3}}, Total: true}
	earlier, err := cbor.Marshal(report)
	must.NoError(t, err)
	var received daemon.Datagram
	must.NoError(t, cbor.Unmarshal(earlier, &received))
	must.Eq(t, daemon.Datagram{Message: report}, received)

	later, err := cbor.Marshal(daemon.Datagram{Message: report})
	must.NoError(t, err)
	must.Eq(t, earlier, later)

	about := streams.Message{Records: []streams.Record{{Stream: "r1", Service: "review", Version: "v1", KeepForMS: 20000}}}
	later, err = cbor.Marshal(daemon.Datagram{Streams: &about})
	must.NoError(t, err)
	must.NoError(t, cbor.Unmarshal(later, &received))
	must.Eq(t, about, *received.Streams)
	var empty rollup.Message
	must.NoError(t, cbor.Unmarshal(later, &empty))
	must.Eq(t, rollup.Message{}, empty)
	t.Logf("a datagram with one record has %d bytes", len(later)+8)
}
