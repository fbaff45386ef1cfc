// This file has control hosts come back after the leader has compacted what they missed, so that
// they receive a snapshot, while the declaration is read from them.

package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
)

const (
	// missTimeout bounds the time until the others compact what a control host misses, which
	// they do every 64 commands.
	missTimeout = 8 * time.Second
	// missedVersionTimeout bounds the time until one of them is accepted.
	missedVersionTimeout = 500 * time.Millisecond
	// compactionTime is how long after a version a leader may begin a new log file.
	compactionTime = 30 * time.Millisecond
	// returnReaders read the declaration from a host that comes back, for returnReadTime.
	returnReaders  = 8
	returnReadTime = 1500 * time.Millisecond
	// returnReadTimeout bounds one of these reads.
	returnReadTimeout = time.Second
)

// returnThroughSnapshots kills a control host at random intervals, declares versions until the
// others have compacted what it misses, and starts it again while its declaration is read.
func (w *World) returnThroughSnapshots(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		pause(ctx, randomDuration(r, 200, 1200))
		h := pick(r, w.controlHosts())
		if !w.killForSnapshot(h) {
			continue
		}
		others := slices.DeleteFunc(w.controlHosts(), func(o *Host) bool { return o == h })
		compacted := w.declareUntilCompacted(ctx, others)
		w.Timeline.Record("returns", "host=%s compacted=%t version=%d", h.Name, compacted, w.Checker.NewestVersion())
		if compacted {
			w.Checker.RecordSnapshotReturn()
		}
		w.startAndRead(h)
	}
}

// killForSnapshot kills a control host if all of them run and vote. The caller starts it again.
func (w *World) killForSnapshot(h *Host) bool {
	w.mu.Lock()
	ready := w.ctx.Err() == nil && w.allVote()
	for _, c := range w.controlHosts() {
		ready = ready && !c.restarting && !c.paused && c.running()
	}
	if !ready {
		w.mu.Unlock()
		return false
	}
	h.restarting = true
	w.signal(h, syscall.SIGKILL)
	exited := h.exited
	w.mu.Unlock()
	<-exited
	return true
}

// declareUntilCompacted declares versions at the control hosts until they have compacted those that
// came before, the last one included. It reports whether they have.
func (w *World) declareUntilCompacted(ctx context.Context, controls []*Host) bool {
	for until := time.Now().Add(missTimeout); time.Now().Before(until) && ctx.Err() == nil; {
		before := w.logFiles(controls)
		if !w.putVersionAt(controls, w.Checker.NewestVersion()+1, missedVersionTimeout) {
			continue
		}
		time.Sleep(compactionTime)
		if !slices.Equal(before, w.logFiles(controls)) {
			return true
		}
	}
	return false
}

// logFiles returns the files with the control hosts' logs. A host begins a new one when it compacts
// its log.
func (w *World) logFiles(controls []*Host) []string {
	var out []string
	for _, c := range controls {
		entries, err := os.ReadDir(filepath.Join(w.Dir, c.Name))
		if err != nil {
			continue // its folder has just been deleted
		}
		for _, e := range entries {
			if strings.HasPrefix(e.Name(), "log-") {
				out = append(out, c.Name+"/"+e.Name())
			}
		}
	}
	return out
}

// startAndRead starts a control host and reads its declaration again and again from then on.
func (w *World) startAndRead(h *Host) {
	w.startExited(h)
	group := pool.New()
	for range returnReaders {
		group.Go(func() {
			o := platformtest.Operator{Client: http.Client{Timeout: returnReadTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
			for until := time.Now().Add(returnReadTime); time.Now().Before(until) && w.ctx.Err() == nil; {
				w.readDeclaration(w.ctx, o, h)
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	group.Wait()
}

// RecordSnapshotReturn records that a control host comes back through a snapshot.
func (c *Checker) RecordSnapshotReturn() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.SnapshotReturns++
}
