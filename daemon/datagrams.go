// This file defines the datagrams among gateways.

package daemon

import (
	"context"
	"time"

	"github.com/linenscale/linenscale/dispatch"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/streams"
	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/wire"
)

// Datagram is what gateways send each other over UDP: either a load report, or a message about
// streams. Gateways of releases without the latter ignore it, since the report is empty then.
type Datagram struct {
	rollup.Message
	Streams *streams.Message `cbor:"16,keyasint,omitempty"`
}

// streamExpiryInterval is how often records of streams that have ended are removed.
const streamExpiryInterval = time.Second

// newStreamDirectory returns the directory of streams, which sends its messages as datagrams.
func (m *member) newStreamDirectory(self roster.Host, gateways func() []roster.Host, datagrams *wire.Datagrams[Datagram]) *streams.Directory {
	return streams.New(streams.Deps{
		Self: self, Hosts: gateways, Clock: steady.Time, Log: m.log,
		Send: func(message streams.Message, addresses []string) error {
			return datagrams.Send(Datagram{Streams: &message}, addresses)
		},
	})
}

// receiveDatagrams applies the datagrams of other gateways until ctx ends.
func receiveDatagrams(ctx context.Context, datagrams *wire.Datagrams[Datagram], d *dispatch.Dispatcher, directory *streams.Directory) error {
	return datagrams.Run(ctx, func(received Datagram) {
		if received.Streams != nil {
			directory.Receive(*received.Streams)
			return
		}
		d.Receive(received.Message)
	})
}

// sendLoadReports sends this gateway's load reports to other gateways at regular
// intervals. A report that can't be sent is dropped; the next one supersedes it.
func (m *member) sendLoadReports(ctx context.Context, d *dispatch.Dispatcher, datagrams *wire.Datagrams[Datagram]) error {
	duty.Every(ctx, rollup.ReportInterval, func() {
		for _, out := range d.Outgoing() {
			if err := datagrams.Send(Datagram{Message: out.Message}, out.To); err != nil {
				m.log.Debug("load report not sent", telemetry.ErrorField(err))
			}
		}
	})
	return nil
}

// expireStreams removes the records of streams that have ended, until ctx ends.
func expireStreams(ctx context.Context, directory *streams.Directory) error {
	duty.Every(ctx, streamExpiryInterval, directory.Expire)
	return nil
}
