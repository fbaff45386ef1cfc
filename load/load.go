// Package load sends requests at a fixed rate and measures the answers.
//
// Arrivals are open-loop: as with real callers, a slow answer doesn't delay the next
// request. The latency of a request that was sent late counts from when it was due (Tene,
// "How not to measure latency"). The same load can be sent to the gateway and, in the
// same run, directly to the stand-in engine; the difference is the latency that the
// gateway adds.
package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/internal/httphead"
	"github.com/linenscale/linenscale/request"
)

// Options configures a load.
type Options struct {
	URL          string // completions endpoint
	Model        string
	Home         string  // home region of the requests
	Rate         float64 // requests a second
	Duration     time.Duration
	AnswerTokens int // length of each answer
	PromptBytes  int // length of each prompt in bytes
	Stream       bool
	MaxInFlight  int // limit on the requests in flight; at the limit, requests are sent late
}

// Result holds the measurements of one load. Times are in microseconds and cover only the
// requests that were answered. Refused counts the requests that were rejected as not run.
type Result struct {
	Target    string  `json:"target"`
	Sent      int64   `json:"sent"`
	Answered  int64   `json:"answered"`
	Failed    int64   `json:"failed"`
	Refused   int64   `json:"refused"`
	Events    int64   `json:"events"`
	Seconds   float64 `json:"seconds"`
	FirstP50  int64   `json:"first_p50_us"`
	FirstP99  int64   `json:"first_p99_us"`
	FirstP999 int64   `json:"first_p999_us"`
	TotalP50  int64   `json:"total_p50_us"`
	TotalP99  int64   `json:"total_p99_us"`
	TotalP999 int64   `json:"total_p999_us"`
}

// recorder collects the measurements of one run.
type recorder struct {
	mu                              sync.Mutex
	first, total                    *hdrhistogram.Histogram
	sent, answered, failed, refused atomic.Int64
	events                          atomic.Int64
}

// maxRecorded is the greatest time that the histograms can hold, in microseconds.
const maxRecorded = int64(10 * time.Minute / time.Microsecond)

// Run sends the load to one target, which the result calls name, and waits for all
// answers. It returns the measurements so far and an error if ctx ends.
func Run(ctx context.Context, name string, opts Options) (Result, error) {
	client := &http.Client{Transport: httphead.New(&http.Transport{
		MaxIdleConnsPerHost: opts.MaxInFlight, MaxConnsPerHost: opts.MaxInFlight, DisableCompression: true,
	})}
	defer client.CloseIdleConnections()
	rec := &recorder{first: hdrhistogram.New(1, maxRecorded, 3), total: hdrhistogram.New(1, maxRecorded, 3)}
	body := opts.requestBody()
	began := time.Now()
	interval := time.Duration(float64(time.Second) / opts.Rate)
	group := pool.New().WithMaxGoroutines(opts.MaxInFlight)
	for i := 0; ; i++ {
		due := began.Add(time.Duration(i) * interval)
		if due.Sub(began) >= opts.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		rec.sent.Add(1)
		group.Go(func() { rec.sendRequest(ctx, client, opts, body, due) })
	}
	group.Wait()
	return rec.result(name, time.Since(began)), errors.Trace(ctx.Err())
}

func (o Options) requestBody() []byte {
	prompt := strings.Repeat("x", o.PromptBytes)
	return fmt.Appendf(nil, `{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, o.Model, o.Stream, o.AnswerTokens, prompt)
}

func (r *recorder) sendRequest(ctx context.Context, client *http.Client, opts Options, body []byte, due time.Time) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, opts.URL, bytes.NewReader(body))
	if err != nil {
		r.failed.Add(1)
		return
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(request.HeaderHome, opts.Home)
	resp, err := client.Do(req)
	if err != nil {
		r.failed.Add(1)
		return
	}
	defer resp.Body.Close()
	if resp.Header.Get(request.HeaderOutcome) == request.OutcomeValueNotRun {
		r.refused.Add(1)
		return
	}
	r.readAnswer(resp, opts, due)
}

// readAnswer reads an answer and records its times, counted from when the request was due.
func (r *recorder) readAnswer(resp *http.Response, opts Options, due time.Time) {
	chunk := make([]byte, 4<<10)
	var first time.Duration
	var tail []byte
	events := 0
	for {
		n, err := resp.Body.Read(chunk)
		if n > 0 && first == 0 {
			first = time.Since(due)
		}
		events += bytes.Count(chunk[:n], []byte("data: "))
		tail = append(tail, chunk[:n]...)
		tail = tail[max(0, len(tail)-16):]
		if err == io.EOF {
			break
		}
		if err != nil {
			r.failed.Add(1)
			return
		}
	}
	if resp.StatusCode != http.StatusOK || (opts.Stream && !bytes.HasSuffix(tail, []byte("[DONE]\n\n"))) {
		r.failed.Add(1)
		return
	}
	r.answered.Add(1)
	r.events.Add(int64(events))
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.first.RecordValue(max(1, first.Microseconds()))
	_ = r.total.RecordValue(max(1, time.Since(due).Microseconds()))
}

func (r *recorder) result(name string, took time.Duration) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Result{
		Target: name, Sent: r.sent.Load(), Answered: r.answered.Load(), Failed: r.failed.Load(), Refused: r.refused.Load(),
		Events: r.events.Load(), Seconds: took.Seconds(),
		FirstP50: r.first.ValueAtQuantile(50), FirstP99: r.first.ValueAtQuantile(99), FirstP999: r.first.ValueAtQuantile(99.9),
		TotalP50: r.total.ValueAtQuantile(50), TotalP99: r.total.ValueAtQuantile(99), TotalP999: r.total.ValueAtQuantile(99.9),
	}
}

// Table writes results as a text table, followed by the difference between the last and
// the first.
func Table(w io.Writer, results []Result) error {
	if _, err := fmt.Fprintf(w, "%-10s %8s %8s %7s %7s %9s %10s %10s %10s %10s\n", "target", "sent", "answered", "refused", "failed", "events/s", "first p50", "first p99", "p99.9", "total p99"); err != nil {
		return errors.Trace(err)
	}
	for _, r := range results {
		_, err := fmt.Fprintf(w, "%-10s %8d %8d %7d %7d %9.0f %8dus %8dus %8dus %8dus\n",
			r.Target, r.Sent, r.Answered, r.Refused, r.Failed, float64(r.Events)/r.Seconds, r.FirstP50, r.FirstP99, r.FirstP999, r.TotalP99)
		if err != nil {
			return errors.Trace(err)
		}
	}
	if len(results) < 2 {
		return nil
	}
	a, b := results[0], results[len(results)-1]
	_, err := fmt.Fprintf(w, "added by %s over %s: first p50 %+dus, p99 %+dus, p99.9 %+dus; total p99 %+dus\n",
		b.Target, a.Target, b.FirstP50-a.FirstP50, b.FirstP99-a.FirstP99, b.FirstP999-a.FirstP999, b.TotalP99-a.TotalP99)
	return errors.Trace(err)
}
