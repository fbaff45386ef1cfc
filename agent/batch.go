// This file defines how a relay gathers the reports of its hosts into one
// message, so that the leader hears each data centre once.

package agent

import (
	"context"
	"time"

	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/leader"
)

// gatherTime is how long a relay waits for further reports.
const gatherTime = 8 * time.Millisecond

// reportBatch is a message that is being gathered.
type reportBatch struct {
	reports []leader.Report
	done    chan struct{} // closed when reply and err are set
	reply   leader.ReportReply
	err     error
}

// relayReport forwards reports together with those that come within a moment.
// Whoever comes first sends for all.
func (a *Agent) relayReport(ctx context.Context, args leader.ReportArgs) (leader.ReportReply, error) {
	a.mu.Lock()
	b := a.batch
	first := b == nil
	if first {
		b = &reportBatch{done: make(chan struct{})}
		a.batch = b
	}
	b.reports = append(b.reports, args.Reports...)
	a.mu.Unlock()
	if first {
		duty.Pause(ctx, gatherTime)
		a.mu.Lock()
		a.batch = nil
		a.mu.Unlock()
		b.reply, b.err = a.forward(ctx, leader.ReportArgs{Reports: b.reports, Hops: args.Hops})
		close(b.done)
	}
	select {
	case <-b.done:
		return b.reply, b.err
	case <-ctx.Done():
		return leader.ReportReply{}, ctx.Err()
	}
}
