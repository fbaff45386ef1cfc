package telemetry_test

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/telemetry"
)

func TestFullLogBufferDropsAndCountsLines(t *testing.T) {
	var out bytes.Buffer
	b := telemetry.NewBoundedWriter(&out)
	log, err := telemetry.NewLogger(b, "info")
	must.NoError(t, err)
	for range 5000 {
		log.Info("a line", zap.String("padding", strings.Repeat("x", 100)))
	}
	must.NoError(t, b.Sync())
	must.StrContains(t, out.String(), `msg="log lines dropped" count=`)
	must.Less(t, 200<<10, out.Len())
	out.Reset()
	log.Info("after the flush")
	must.NoError(t, b.Sync())
	must.StrContains(t, out.String(), "after the flush")
}

func TestLoggingDoesNotBlockOnASlowReader(t *testing.T) {
	stuck := make(chan struct{})
	b := telemetry.NewBoundedWriter(writer(func(p []byte) (int, error) {
		<-stuck
		return len(p), nil
	}))
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = b.Run(ctx) })
	var logging sync.WaitGroup
	logging.Add(1)
	group.Go(func() {
		defer logging.Done()
		for range 10_000 {
			_, err := b.Write([]byte(strings.Repeat("x", 200)))
			must.NoError(t, err)
		}
	})
	logging.Wait() // while the writer is blocked
	close(stuck)
	cancel()
	group.Wait()
}

type writer func([]byte) (int, error)

func (w writer) Write(p []byte) (int, error) { return w(p) }

func TestCauseOmitsTheStack(t *testing.T) {
	var out bytes.Buffer
	log, err := telemetry.NewLogger(&out, "info")
	must.NoError(t, err)
	log.Info("failed", telemetry.ErrorField(errors.Annotate(errors.New("no way"), "open")))
	log.Info("fine", telemetry.ErrorField(nil))
	must.StrContains(t, out.String(), `error="open: no way"`)
	must.StrNotContains(t, out.String(), "errorVerbose")
	must.StrNotContains(t, strings.Split(out.String(), "\n")[1], "error=")
}
