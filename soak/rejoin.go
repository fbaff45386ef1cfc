package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// rejoinStreams is how many streams are under way when all gateways are killed, and rejoinTime
	// how long their callers try to take them up.
	rejoinStreams = 20
	rejoinTime    = 8 * time.Second
	// rejoinPause is the pause of a caller between two tries.
	rejoinPause = 150 * time.Millisecond
	// maxRelease is how long before the loss of all gateways an engine may end at most.
	maxRelease = 3 * time.Second
)

// releaseVersions replaces model engines until two versions serve.
func (w *World) releaseVersions() {
	for w.enginesOf(softwareVersions[0]) == 0 || w.enginesOf(softwareVersions[1]) == 0 {
		for _, e := range w.liveEngines() {
			if e.Service == "model" {
				w.replace(e, 0)
				break
			}
		}
	}
}

// endVersion ends all model engines of a version; engines of either version replace them.
func (w *World) endVersion(version string) {
	for _, e := range w.liveEngines() {
		if e.Service == "model" && e.Version() == version {
			w.replace(e, 0)
		}
	}
}

// killAllGateways has callers begin streams at engines of two versions, ends those of one version,
// kills all gateways at once, and has the callers take their streams up. No record of the
// streams is left.
func (w *World) killAllGateways(ctx context.Context, r *rand.Rand) {
	kind, request := resumableRequest()
	var caller platformtest.Caller
	defer caller.Client.CloseIdleConnections()
	w.releaseVersions()
	time.Sleep(drainTime)
	var begun []platformtest.Result
	for range rejoinStreams {
		if first, ok := w.beginBroken(ctx, &caller, kind, request, pick(r, w.gateways("")), r); ok {
			begun = append(begun, first)
		}
	}
	w.endVersion(pick(r, softwareVersions))
	time.Sleep(randomDuration(r, 1, int(maxRelease.Milliseconds())))
	for _, h := range w.gateways("") {
		w.restart(h, r, syscall.SIGKILL)
	}
	w.Timeline.Record("all gateways killed", "streams=%d", len(begun))
	work := pool.New()
	for _, first := range begun {
		drawn := rand.New(rand.NewPCG(r.Uint64(), 1))
		work.Go(func() { w.takeUp(ctx, kind, request, first, func() *Host { return pick(drawn, w.gateways("")) }) })
	}
	work.Wait()
}

// resumableRequest returns a request whose stream may be resumed, and its kind.
func resumableRequest() (requestKind, platformtest.Request) {
	kind, _ := kindOfPath("/review/1")
	return kind, platformtest.Request{Host: "soak", Path: "/review/1", Header: platformtest.HeaderWithKeys(memberKey), IsPrompt: true, PromptBlocks: firstPart + ":400,c:50", Deadline: uploadTime}
}

// beginBroken begins a stream at a gateway and breaks it off after some events. It returns false if
// the stream wasn't begun.
func (w *World) beginBroken(ctx context.Context, caller *platformtest.Caller, k requestKind, request platformtest.Request, at *Host, r *rand.Rand) (platformtest.Result, bool) {
	request.BreakAfter = 1 + r.IntN(streamEvents-1)
	first, err := caller.Do(ctx, at.settings.Listen.Callers, request)
	if err != nil || first.Status != http.StatusOK {
		return first, false
	}
	w.Checker.CheckAnswer(k, "", first)
	return first, true
}

// releaseBehindAGateway starts the first engines of a second version while one gateway is suspended,
// and has callers begin streams through the others. All others are killed, and the callers take their
// streams up at the gateway that was suspended, from before it goes on.
func (w *World) releaseBehindAGateway(ctx context.Context, r *rand.Rand) {
	kind, request := resumableRequest()
	var caller platformtest.Caller
	defer caller.Client.CloseIdleConnections()
	gateways := w.gateways("")
	behind := pick(r, gateways)
	w.pauseFor(behind, randomDuration(r, 300, 4000))
	w.released.Store(true)
	w.releaseVersions()
	var begun []platformtest.Result
	for range rejoinStreams {
		at := pick(r, gateways)
		if at == behind {
			continue
		}
		if first, ok := w.beginBroken(ctx, &caller, kind, request, at, r); ok {
			begun = append(begun, first)
		}
	}
	for _, h := range gateways {
		if h != behind {
			w.restart(h, r, syscall.SIGKILL)
		}
	}
	w.Timeline.Record("release behind a gateway", "gateway=%s streams=%d", behind.Name, len(begun))
	work := pool.New()
	for _, first := range begun {
		work.Go(func() { w.takeUp(ctx, kind, request, first, func() *Host { return behind }) })
	}
	work.Wait()
}

// takeUp tries to take up a stream at one gateway after the other.
func (w *World) takeUp(ctx context.Context, k requestKind, request platformtest.Request, first platformtest.Result, next func() *Host) {
	var caller platformtest.Caller
	defer caller.Client.CloseIdleConnections()
	body := completeEvents(first.Body)
	request.Resumes, request.LastEvent, request.BreakAfter = first.ID, lastEventOf(body), 0
	for until := time.Now().Add(rejoinTime); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, rejoinPause) {
		at := next()
		result, err := caller.Do(ctx, at.settings.Listen.Callers, request)
		if err != nil {
			continue
		}
		w.Checker.CheckResumption(k, at, result, body+result.Body, 0)
		if result.Status == http.StatusOK {
			w.Checker.countRejoined()
			return
		}
	}
}

// countRejoined counts a stream that went on after all gateways had been killed.
func (c *Checker) countRejoined() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Rejoined++
}
