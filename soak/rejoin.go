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
	kind, _ := kindOfPath("/review/1")
	request := platformtest.Request{Host: "soak", Path: "/review/1", Header: platformtest.HeaderWithKeys(memberKey), IsPrompt: true, PromptBlocks: firstPart + ":400,c:50", Deadline: uploadTime}
	var caller platformtest.Caller
	defer caller.Client.CloseIdleConnections()
	w.releaseVersions()
	time.Sleep(drainTime)
	var begun []platformtest.Result
	for range rejoinStreams {
		request.BreakAfter = 1 + r.IntN(streamEvents-1)
		first, err := caller.Do(ctx, pick(r, w.gateways("")).settings.Listen.Callers, request)
		if err == nil && first.Status == http.StatusOK {
			w.Checker.CheckAnswer(kind, "", first)
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
		work.Go(func() { w.takeUp(ctx, kind, request, first, drawn) })
	}
	work.Wait()
}

// takeUp tries to take up a stream at one gateway after the other.
func (w *World) takeUp(ctx context.Context, k requestKind, request platformtest.Request, first platformtest.Result, r *rand.Rand) {
	var caller platformtest.Caller
	defer caller.Client.CloseIdleConnections()
	body := completeEvents(first.Body)
	request.Resumes, request.LastEvent, request.BreakAfter = first.ID, lastEventOf(body), 0
	for until := time.Now().Add(rejoinTime); time.Now().Before(until) && ctx.Err() == nil; pause(ctx, rejoinPause) {
		at := pick(r, w.gateways(""))
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
