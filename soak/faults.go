package soak

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// minWipeInterval is the least time between two losses of data folders.
const minWipeInterval = 10 * time.Second

// fault is one kind of fault and its weight in the random draw.
type fault struct {
	name   string
	weight int
	inject func(w *World, r *rand.Rand) string // returns the target; "" if it can't be injected now
}

// faults lists every fault that a run may inject. Its order and weights decide what a
// seed draws.
var faults = []fault{
	{"kill gateway", 4, func(w *World, r *rand.Rand) string { return w.restart(pick(r, w.gateways("")), r, syscall.SIGKILL) }},
	{"stop gateway", 4, func(w *World, r *rand.Rand) string { return w.restart(pick(r, w.gateways("")), r, syscall.SIGTERM) }},
	{"kill control", 2, func(w *World, r *rand.Rand) string { return w.restart(pick(r, w.controlHosts()), r, syscall.SIGKILL) }},
	{"stop control", 2, func(w *World, r *rand.Rand) string { return w.restart(pick(r, w.controlHosts()), r, syscall.SIGTERM) }},
	{"kill all control", 1, func(w *World, r *rand.Rand) string {
		for _, h := range w.controlHosts() {
			w.restart(h, r, syscall.SIGKILL)
		}
		return "all"
	}},
	{"lose data folder", 2, wipeDataDir},
	{"pause", 4, func(w *World, r *rand.Rand) string { return w.pauseFor(pick(r, w.Hosts), randomDuration(r, 300, 3000)) }},
	{"reload", 1, func(w *World, _ *rand.Rand) string {
		w.mu.Lock() // hosts may be started again meanwhile
		defer w.mu.Unlock()
		for _, h := range w.Hosts {
			w.signal(h, syscall.SIGHUP)
		}
		return "all"
	}},
	{"cut off", 4, func(w *World, r *rand.Rand) string {
		h := pick(r, w.Hosts)
		w.partition(randomDuration(r, 500, 4000), r.IntN(3) > 0, r.IntN(3) > 0, []*Host{h})
		return h.Name
	}},
	{"cut region off", 2, func(w *World, r *rand.Rand) string {
		region := pick(r, w.Hosts).Region
		var inside []*Host
		for _, h := range w.Hosts {
			if h.Region == region {
				inside = append(inside, h)
			}
		}
		w.partition(randomDuration(r, 500, 4000), true, r.IntN(3) > 0, inside)
		return region
	}},
	{"delay", 3, func(w *World, r *rand.Rand) string {
		h, delay := pick(r, w.Hosts), randomDuration(r, 20, 250)
		w.eachLink([]*Host{h}, func(from, to string) { w.Net.SetFault(from, to, LinkFault{Delay: delay}) })
		w.schedule(randomDuration(r, 1000, 4000), func() { w.eachLink([]*Host{h}, func(from, to string) { w.Net.SetFault(from, to, LinkFault{}) }) })
		return h.Name
	}},
	{"reset", 3, func(w *World, r *rand.Rand) string {
		h := pick(r, w.Hosts)
		w.Net.ResetConnections(h.Name)
		return h.Name
	}},
	{"engine goes wrong", 6, func(w *World, r *rand.Rand) string {
		e := pick(r, w.liveEngines())
		faults := []platformtest.Fault{
			platformtest.FaultError, platformtest.FaultReject, platformtest.FaultTruncate, platformtest.FaultNoResponse,
			platformtest.FaultReset, platformtest.FaultWrongID, platformtest.FaultNoLength, platformtest.FaultNoLengthReset,
			platformtest.FaultNoLengthHead, platformtest.FaultNoLengthEvent, platformtest.FaultNoLengthInside, platformtest.FaultNoLengthLine,
			platformtest.FaultNoLengthCrash, platformtest.FaultTerminatedInside,
		}
		e.SetFaults(platformtest.NewFaultPlan(pick(r, faults), 1+r.IntN(20)).Then(usualFaults()))
		return e.ID
	}},
	{"engine crashes", 2, func(w *World, r *rand.Rand) string { return w.replaceEngine(r, 0) }},
	{"engine drains", 3, func(w *World, r *rand.Rand) string { return w.replaceEngine(r, drainTime+time.Second) }},
}

func pick[T any](r *rand.Rand, all []T) T { return all[r.IntN(len(all))] }

// randomDuration draws a duration of at least least and less than most milliseconds.
func randomDuration(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}

// drawFault draws one fault by weight.
func drawFault(r *rand.Rand) fault {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	at := r.IntN(total)
	for _, f := range faults {
		if at -= f.weight; at < 0 {
			return f
		}
	}
	return faults[0]
}

// schedule calls do after wait, unless the world ends first.
func (w *World) schedule(wait time.Duration, do func()) {
	w.group.Go(func() {
		select {
		case <-w.ctx.Done():
		case <-time.After(wait):
			do()
		}
	})
}

// restart sends s to a host's process and starts it again 100 to 1500 ms after it has
// exited. A process that outlives its stop time by 3 s is reported and killed.
func (w *World) restart(h *Host, r *rand.Rand, s syscall.Signal) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.restarting || !h.running() {
		return ""
	}
	h.restarting = true
	w.signal(h, syscall.SIGCONT)
	w.signal(h, s)
	exited, pause := h.exited, randomDuration(r, 100, 1500)
	w.group.Go(func() {
		select {
		case <-exited:
		case <-time.After(h.settings.StopTime + 3*time.Second):
			w.Checker.AddProblem("%s still runs %v after it was told to stop", h.Name, h.settings.StopTime+3*time.Second)
			w.kill(h)
		}
		time.Sleep(pause)
		w.startExited(h)
	})
	return h.Name
}

// startExited starts a host again whose process has exited, and reports a failure to do so.
func (w *World) startExited(h *Host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.restarting = false
	if w.ctx.Err() != nil {
		return
	}
	if err := w.start(h); err != nil {
		w.Checker.AddProblem("%s can't be started: %v", h.Name, err)
	}
}

// wipeDataDir kills a control host, deletes its data folder and starts it again. It does
// nothing if a folder was deleted within minWipeInterval, a control host isn't running, or
// one that lost its folder doesn't vote again yet: without a majority of the voters' data, no
// command can ever be accepted again.
func wipeDataDir(w *World, r *rand.Rand) string {
	h := pick(r, w.controlHosts())
	w.mu.Lock()
	ready := time.Since(w.lastWipe) > minWipeInterval && w.allVote()
	for _, c := range w.controlHosts() {
		ready = ready && !c.restarting && c.running() && !c.paused
	}
	if !ready {
		w.mu.Unlock()
		return ""
	}
	w.lastWipe = time.Now()
	w.mu.Unlock()
	w.kill(h)
	if err := os.RemoveAll(filepath.Join(w.Dir, h.Name)); err != nil {
		w.Checker.AddProblem("data folder of %s: %v", h.Name, err)
	}
	w.startExited(h)
	return h.Name
}

// pauseFor suspends a host's process with SIGSTOP, and resumes it after wait.
func (w *World) pauseFor(h *Host, wait time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if h.restarting || h.paused || !h.running() {
		return ""
	}
	h.paused = true
	w.signal(h, syscall.SIGSTOP)
	w.schedule(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		h.paused = false
		w.signal(h, syscall.SIGCONT)
	})
	return h.Name
}

// partition blocks the traffic between the hosts inside and all others, in the chosen
// directions, and unblocks it after wait.
func (w *World) partition(wait time.Duration, in, out bool, inside []*Host) {
	set := func(blocked bool) {
		w.eachLink(inside, func(from, to string) {
			incoming := containsHost(inside, to)
			if (incoming && in) || (!incoming && out) {
				w.Net.SetFault(from, to, LinkFault{Blocked: blocked})
			}
		})
	}
	set(true)
	w.schedule(wait, func() { set(false) })
}

func containsHost(hosts []*Host, name string) bool {
	for _, h := range hosts {
		if h.Name == name {
			return true
		}
	}
	return false
}

// eachLink calls do for both directions of each link between a host inside and one outside.
func (w *World) eachLink(inside []*Host, do func(from, to string)) {
	for _, h := range inside {
		for _, o := range w.Hosts {
			if !containsHost(inside, o.Name) {
				do(h.Name, o.Name)
				do(o.Name, h.Name)
			}
		}
	}
}

// replaceEngine starts an engine in place of a randomly drawn one. With a drain of 0 the
// old engine stops at once; otherwise it announces that it drains and stops after that
// time.
func (w *World) replaceEngine(r *rand.Rand, drain time.Duration) string {
	return w.replace(pick(r, w.liveEngines()), drain)
}

// replace is replaceEngine for one engine.
func (w *World) replace(e *Engine, drain time.Duration) string {
	w.removeEngine(e)
	region := int(e.Region[len(e.Region)-1] - '0')
	if _, err := w.addEngine(e.Service, region); err != nil {
		w.Checker.AddProblem("engine: %v", err)
	}
	if drain == 0 {
		e.stop()
		return e.ID
	}
	e.SetDraining()
	w.schedule(drain, e.stop)
	return e.ID
}
