// This file defines how a relay combines the reports of its hosts into one message, so
// that the leader gets one message per data centre and interval.

package agent

import (
	"context"
	"time"

	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/leader"
)

// batchWindow is how long a relay waits for further reports after the first.
const batchWindow = 8 * time.Millisecond

// reportBatch is a set of reports to be forwarded in one message.
type reportBatch struct {
	reports []leader.Report
	replied chan struct{} // closed when reply and err are set
	reply   leader.ReportReply
	err     error
}

// batchReports forwards reports together with those that arrive within batchWindow. The
// first caller opens the batch and forwards it; the others wait for its reply.
func (a *Agent) batchReports(ctx context.Context, args leader.ReportArgs) (leader.ReportReply, error) {
	a.mu.Lock()
	b := a.pendingBatch
	opened := b == nil
	if opened {
		b = &reportBatch{replied: make(chan struct{})}
		a.pendingBatch = b
	}
	b.reports = append(b.reports, args.Reports...)
	a.mu.Unlock()
	if opened {
		duty.Pause(ctx, batchWindow)
		a.mu.Lock()
		a.pendingBatch = nil
		a.mu.Unlock()
		b.reply, b.err = a.forwardReports(ctx, leader.ReportArgs{Reports: b.reports, Hops: args.Hops})
		close(b.replied)
	}
	select {
	case <-b.replied:
		return b.reply, b.err
	case <-ctx.Done():
		return leader.ReportReply{}, ctx.Err()
	}
}
