package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// lateUploads is how many uploads are under way when a gateway gets a SIGTERM. Their last
	// bytes follow latePause apart, all before the gateway's stop time is over.
	lateUploads = 26
	latePause   = 150 * time.Millisecond
)

// lateReader returns one byte at a time, and only then.
type lateReader struct{ at time.Time }

// Read implements io.Reader.
func (l lateReader) Read(data []byte) (int, error) {
	time.Sleep(time.Until(l.at))
	data[0] = 'u'
	return 1, io.EOF
}

// stopWhileCalm sends one gateway a SIGTERM while it receives uploads, which become whole one
// after the other, and checks that each gets an answer.
func (w *World) stopWhileCalm(ctx context.Context, r *rand.Rand) {
	h := pick(r, w.gateways(""))
	client := http.Client{Timeout: h.settings.StopTime + uploadTime, Transport: &http.Transport{DisableKeepAlives: true}}
	stopAt := time.Now().Add(time.Second) // until the heads have arrived
	var unanswered atomic.Int32
	work := pool.New()
	for i := range lateUploads {
		work.Go(func() {
			if !w.uploadUntil(ctx, &client, h, stopAt.Add(time.Duration(i)*latePause)) {
				unanswered.Add(1)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	w.restart(h, r, syscall.SIGTERM)
	work.Wait()
	w.waitServed(recoveryTimeout)
	if n := unanswered.Load(); n > 0 {
		w.Checker.AddProblem("%d of %d uploads got no answer from %s, which was told to stop while calm", n, lateUploads, h.Name)
	}
}

// uploadUntil sends an upload whose last byte follows at a time. It reports whether an answer came.
func (w *World) uploadUntil(ctx context.Context, client *http.Client, h *Host, end time.Time) bool {
	body := io.MultiReader(strings.NewReader(uploadBody[1:]), lateReader{end})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.settings.Listen.Callers+"/"+uploadKind+"/1", body)
	if err != nil {
		return false
	}
	req.Host, req.ContentLength = "soak", int64(len(uploadBody))
	req.Header = platformtest.HeaderWithKeys(memberKey)
	req.Header.Set("X-Linenscale-Request-Id", strings.ReplaceAll(uuid.NewString(), "-", "")[:16])
	req.Header.Set("X-Linenscale-Deadline-Ms", fmt.Sprint((h.settings.StopTime + uploadTime).Milliseconds()))
	resp, err := client.Do(req)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	w.Timeline.Record("late upload", "host=%s end=%s status=%d error=%q", h.Name, end.Format(time.RFC3339Nano), status, fmt.Sprint(err))
	return err == nil
}
