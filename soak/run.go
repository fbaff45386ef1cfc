package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/platform/platformtest"
)

// Report is the outcome of a run.
type Report struct {
	Seed               uint64
	Faults             map[string]int
	Answers            map[string]int // by kind and status
	Checks             int
	Version            int64 // the newest accepted version
	SmallAccountRuns   int   // requests of the small account that ran
	CrashedEngines     int   // engines that the poison request crashed
	PartCrashes        int   // engines that crashed under a part of prompts
	LimitedEnginePeak  int   // most requests within limitWindow at the rate-limited engine, while calm
	Resumptions        int   // requests that took up a stream
	ResumptionsCounted int   // of these, those at undisturbed gateways while engines of their version were live
	ResumptionsGoneOn  int   // of the latter, those that went on
	Backoffs           int   // backoffs that engines asked for
	BrokenLong         int   // long answers that visibly broke off
	Uploads            int   // uploads to engines that read late, while calm
	FailedUploads      int   // of these, those without an answer
	Rejoined           int   // streams that went on after all gateways had been killed
	Endless            int   // responses whose head never ended
	SnapshotReturns    int   // control hosts that came back after the leader had compacted what they missed
	Problems           []string
}

// String returns a summary line, the counts of faults and answers, and the problems.
func (r Report) String() string {
	var out strings.Builder
	fmt.Fprintf(&out, "seed %d: %d checks, version %d, %d requests of the small account, %d engines crashed by a request and %d by a part, %d at the engine that takes few, %d rests asked for, %d streams taken up (%d of %d undisturbed ones went on), %d long answers broken off, %d of %d late-read uploads failed, %d answers without an end, %d streams taken up after the loss of all gateways, %d returns through a snapshot, %d problems\n", r.Seed, r.Checks, r.Version, r.SmallAccountRuns, r.CrashedEngines, r.PartCrashes, r.LimitedEnginePeak, r.Backoffs, r.Resumptions, r.ResumptionsGoneOn, r.ResumptionsCounted, r.BrokenLong, r.FailedUploads, r.Uploads, r.Endless, r.Rejoined, r.SnapshotReturns, len(r.Problems))
	for _, counts := range []map[string]int{r.Faults, r.Answers} {
		for _, name := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(&out, "  %-22s %d\n", name, counts[name])
		}
	}
	for _, p := range r.Problems {
		fmt.Fprintf(&out, "  BROKEN %s\n", p)
	}
	return out.String()
}

// Timing of a run.
const (
	// startTimeout is how long a world may take until it serves all requests, and
	// recoveryTimeout how long until it does so again after fault injection has ended.
	startTimeout    = 30 * time.Second
	recoveryTimeout = 40 * time.Second
	// callPause is the pause of each caller between two requests, and longCallPause that between
	// two with long answers.
	callPause     = 40 * time.Millisecond
	longCallPause = 250 * time.Millisecond
	// uploadReadPause is how long engines leave the body of an upload unread, uploadTime how
	// long an upload may take, and uploadPause the pause of each caller between two of them.
	uploadReadPause = 1600 * time.Millisecond
	uploadTime      = 3 * time.Second
	// uploadTimeout is that of the route: an upload that is under way when its gateway gets a
	// SIGTERM takes until the end of the stop.
	uploadTimeout = 10 * time.Second
	uploadPause   = 2 * time.Second
	// changeInterval and readInterval are the operator's pauses between changes and
	// between reads.
	changeInterval = 700 * time.Millisecond
	readInterval   = 250 * time.Millisecond
)

// Versions rise by random steps of at most maxVersionStep. The last step is
// finalVersionStep, which puts the last version above all those whose outcome is unknown.
const (
	maxVersionStep   = 3
	finalVersionStep = 100
)

// Run starts a world, injects faults into it for injectFor, ends them, and waits until
// the world serves all requests again. Violated guarantees are in the report; the error
// only says that the run could not be made.
func Run(ctx context.Context, opts Options, injectFor time.Duration) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := new(conc.WaitGroup)
	w, err := New(ctx, group, opts)
	if w != nil {
		defer group.Wait()
		defer cancel()
		defer w.Stop()
	}
	if err != nil {
		return Report{}, errors.Trace(err)
	}
	report := Report{Seed: opts.Seed, Faults: make(map[string]int)}
	if !w.putVersion(1, startTimeout) || !w.waitServed(startTimeout) {
		return report, errors.New("the hosts did not begin to serve all requests in time; see their logs in " + opts.Dir)
	}
	w.stopWhileCalm(ctx, rand.New(rand.NewPCG(opts.Seed, 43)))
	w.releaseBehindAGateway(ctx, rand.New(rand.NewPCG(opts.Seed, 47)))
	if !w.waitServed(recoveryTimeout) {
		w.Checker.AddProblem("not everything is served %v after all gateways but one were killed: %s", recoveryTimeout, w.firstUnserved())
	}
	w.killAllGateways(ctx, rand.New(rand.NewPCG(opts.Seed, 41)))
	if !w.waitServed(recoveryTimeout) {
		w.Checker.AddProblem("not everything is served %v after all gateways were killed: %s", recoveryTimeout, w.firstUnserved())
	}
	busy, stop := context.WithCancel(ctx)
	defer stop()
	work := pool.New()
	changing, stopChanging := context.WithCancel(busy)
	defer stopChanging()
	w.startTraffic(busy, changing, work)
	for until := time.Now().Add(injectFor); time.Now().Before(until) && ctx.Err() == nil; {
		f := drawFault(w.random)
		if target := f.inject(w, w.random); target != "" {
			report.Faults[f.name]++
			w.Timeline.Record("fault injected", "kind=%q on=%q", f.name, target)
		}
		time.Sleep(randomDuration(w.random, 50, 900))
	}
	stopChanging()
	w.endFaults()
	// A version whose outcome is unknown may or may not be effective. The last version is
	// above all of those, and must be accepted now that there are no faults.
	if !w.putVersion(w.Checker.NewestVersion()+finalVersionStep, recoveryTimeout) {
		w.Checker.AddProblem("no version is accepted %v after all harm ended", recoveryTimeout)
	}
	if !w.waitServed(recoveryTimeout) {
		w.Checker.AddProblem("not everything is served %v after all harm ended: %s", recoveryTimeout, w.firstUnserved())
	}
	w.Timeline.Record("served", "")
	w.drainWhileCalm()
	stop()
	work.Wait()
	w.Timeline.Record("work ended", "")
	w.readAllControlHosts()
	w.Checker.CheckEngines()
	report.SmallAccountRuns, report.CrashedEngines, report.LimitedEnginePeak, report.Backoffs = w.Checker.SmallAccountRuns, w.Checker.PoisonRuns, w.Checker.LimitedEnginePeak, w.Checker.Backoffs
	report.PartCrashes, report.BrokenLong, report.SnapshotReturns = w.Checker.PartCrashes, w.Checker.BrokenLong, w.Checker.SnapshotReturns
	report.Uploads, report.FailedUploads, report.Endless, report.Rejoined = w.Checker.Uploads, w.Checker.FailedUploads, w.Checker.Endless, w.Checker.Rejoined
	report.Resumptions, report.ResumptionsCounted, report.ResumptionsGoneOn = w.Checker.Resumptions, w.Checker.ResumptionsCounted, w.Checker.ResumptionsGoneOn
	report.Answers, report.Checks, report.Version, report.Problems = w.Checker.Answers, w.Checker.Checks, w.Checker.NewestVersion(), w.Checker.Problems()
	return report, nil
}

// startTraffic starts callers at every gateway, the poison and pushback loops, and an
// operator. Pushback and the operator's changes end with changing, all else with ctx.
func (w *World) startTraffic(ctx, changing context.Context, work *pool.Pool) {
	for i, h := range w.gateways("") {
		for j, k := range kinds {
			work.Go(func() { w.sendRequests(ctx, h, k, rand.New(rand.NewPCG(w.Seed, uint64(i*100+j)))) })
		}
		work.Go(func() { w.callWithRotatingKeys(ctx, h, rand.New(rand.NewPCG(w.Seed, uint64(i*100+50)))) })
		work.Go(func() { w.exceedAllowance(ctx, h) })
	}
	work.Go(func() { w.sendPoison(ctx, rand.New(rand.NewPCG(w.Seed, 17))) })
	work.Go(func() { w.sendCrashingPart(ctx, rand.New(rand.NewPCG(w.Seed, 29))) })
	work.Go(func() { w.injectPushback(changing, rand.New(rand.NewPCG(w.Seed, 23))) })
	work.Go(func() { w.runOperator(changing) })
	work.Go(func() { w.returnThroughSnapshots(changing, rand.New(rand.NewPCG(w.Seed, 31))) })
	work.Go(func() { w.readDeclarations(ctx) })
}

// sendRequests sends requests of one kind to one gateway. It reuses each connection until
// the gateway closes it.
func (w *World) sendRequests(ctx context.Context, h *Host, k requestKind, r *rand.Rand) {
	var caller platformtest.Caller
	for ctx.Err() == nil {
		request := platformtest.Request{Host: "soak", Path: "/" + k.name + "/1", Header: platformtest.HeaderWithKeys(memberKey), IsPrompt: k.model, PromptBlocks: fmt.Sprintf("%s:400,b%d:600,c:50", firstPart, r.IntN(5)), Body: k.body(), Deadline: uploadTime}
		if k.resumable && r.IntN(breakOneIn) == 0 {
			request.BreakAfter = 1 + r.IntN(streamEvents-1)
		}
		result, err := caller.Do(ctx, h.settings.Listen.Callers, request)
		if err == nil {
			w.Checker.CheckAnswer(k, h.Name, result)
		}
		if err == nil && k.model {
			w.Checker.RecordSoundRequest(h, result)
		}
		if err == nil && k.resumable {
			w.Checker.RecordNewStream(h, result)
			if result.Status == http.StatusOK && !result.Complete {
				w.resumeStream(ctx, &caller, k, request, result, r)
			}
		}
		pause(ctx, k.pause())
	}
}

// runOperator declares newer versions, and at random intervals evacuates a data centre.
func (w *World) runOperator(ctx context.Context) {
	r := rand.New(rand.NewPCG(w.Seed, 5))
	o := platformtest.Operator{Client: http.Client{Timeout: time.Second}}
	for ctx.Err() == nil {
		w.putVersion(w.Checker.NewestVersion()+1+r.Int64N(maxVersionStep), 2*time.Second)
		if r.IntN(6) == 0 {
			control, dataCentre := pick(r, w.controlHosts()).settings.Listen.Operators, fmt.Sprintf("dc%d", r.IntN(w.Regions))
			for _, on := range []bool{true, false} {
				_, _ = o.Evacuate(ctx, control, dataCentre, on) // endFaults ends all evacuations
				time.Sleep(readInterval)
			}
		}
		pause(ctx, changeInterval)
	}
}

// readDeclarations reads the declaration from each control host in turn, and checks its
// version.
func (w *World) readDeclarations(ctx context.Context) {
	o := platformtest.Operator{Client: http.Client{Timeout: 1500 * time.Millisecond}}
	for i := 0; ctx.Err() == nil; i++ {
		w.readDeclaration(ctx, o, w.controlHosts()[i%len(w.controlHosts())])
		time.Sleep(readInterval)
	}
}

// readDeclaration reads the declaration from a control host, and checks its version.
func (w *World) readDeclaration(ctx context.Context, o platformtest.Operator, c *Host) {
	newest := w.Checker.NewestVersion()
	got, status, err := o.Read(ctx, c.settings.Listen.Operators)
	w.Timeline.Record("read", "host=%s version=%d status=%d error=%q", c.Name, got.ConfigVersion, status, fmt.Sprint(err))
	if err == nil && status == http.StatusOK {
		w.Checker.CheckRead(c.Name, newest, got.ConfigVersion)
	}
}

// endFaults removes the faults of links and engines, waits until all processes run, and
// ends all evacuations.
func (w *World) endFaults() {
	w.Net.ClearFaults()
	for _, e := range w.liveEngines() {
		e.SetFaults(platformtest.NewFaultPlan(platformtest.FaultNone, 0))
		e.SetRetryAfter("")
	}
	for until := time.Now().Add(recoveryTimeout); time.Now().Before(until) && !w.allRunning(); {
		time.Sleep(pollInterval)
	}
	w.Net.ClearFaults() // the scheduled ends of faults have run by now
	o := platformtest.Operator{Client: http.Client{Timeout: time.Second}}
	for dataCentre := range w.regions {
		for until := time.Now().Add(recoveryTimeout); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
			if status, err := o.Evacuate(w.ctx, w.controlHosts()[0].settings.Listen.Operators, dataCentre, false); err == nil && status == http.StatusOK {
				break
			}
		}
	}
	w.Checker.SetCalm(true)
	w.Timeline.Record("calm", "")
}

func (w *World) allRunning() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, h := range w.Hosts {
		if h.restarting || h.paused || !h.running() {
			return false
		}
	}
	return true
}

// waitServed waits until every gateway serves every kind of request and the newest
// version's own route. It returns false on a timeout.
func (w *World) waitServed(timeout time.Duration) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if w.firstUnserved() == "" {
			return true
		}
	}
	return false
}

// firstUnserved describes the first gateway and kind of request that isn't served; "" if
// all are.
func (w *World) firstUnserved() string {
	var caller platformtest.Caller
	defer caller.Client.CloseIdleConnections()
	newest := requestKind{name: fmt.Sprintf("v%d", w.Checker.NewestVersion())}
	for _, h := range w.gateways("") {
		for _, k := range append(slices.Clone(kinds), newest) {
			if k.upload {
				continue // each takes its engine uploadReadPause
			}
			result, err := caller.Do(w.ctx, h.settings.Listen.Callers, platformtest.Request{Host: "soak", Path: "/" + k.name + "/1", Header: platformtest.HeaderWithKeys(memberKey), IsPrompt: k.model})
			if err != nil || result.Status != http.StatusOK || !result.Complete {
				return fmt.Sprintf("%s at %s: status %d, %v", k.name, h.Name, result.Status, err)
			}
		}
	}
	return ""
}

// drainWhileCalm drains two engines while no faults are injected. CheckEngines then
// checks that they receive no requests after drainTime.
func (w *World) drainWhileCalm() {
	time.Sleep(drainTime + time.Second)
	for _, e := range w.liveEngines()[:2] {
		w.Timeline.Record("drain", "engine=%s service=%s region=%s", e.ID, e.Service, e.Region)
		e.SetDraining()
		w.removeEngine(e)
	}
	time.Sleep(drainTime + 2*time.Second)
}

// readAllControlHosts checks that every control host returns the newest version.
func (w *World) readAllControlHosts() {
	o := platformtest.Operator{Client: http.Client{Timeout: 2 * time.Second}}
	for _, c := range w.controlHosts() {
		got, status, err := o.Read(w.ctx, c.settings.Listen.Operators)
		w.Timeline.Record("last read", "host=%s version=%d status=%d error=%q", c.Name, got.ConfigVersion, status, fmt.Sprint(err))
		if err != nil || status != http.StatusOK {
			w.Checker.AddProblem("%s shows no declaration in the end: status %d, %v", c.Name, status, err)
			continue
		}
		w.Checker.CheckRead(c.Name, w.Checker.NewestVersion(), got.ConfigVersion)
	}
}
