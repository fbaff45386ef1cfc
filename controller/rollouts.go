// This file orders rollouts and, on the ledger's leader, moves them from stage to stage.

package controller

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/catalog"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/duty"
	"github.com/linenscale/linenscale/ledger"
	"github.com/linenscale/linenscale/rollout"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/telemetry"
)

// Errors of orders of rollouts.
var (
	// ErrRolloutUnderWay means that another rollout of the service hasn't ended yet.
	ErrRolloutUnderWay = errors.New("another rollout of the service is under way")
	// ErrInvalidRollout means that an order lacks a version or a positive duration.
	ErrInvalidRollout = errors.New("a rollout needs a version and a duration of more than 0")
)

// rolloutInterval is how often the leader decides about the rollouts under way. It is short
// compared with the half second after which gateways report.
const rolloutInterval = 100 * time.Millisecond

// rollouts holds what this control host has received about the rollouts under way.
type rollouts struct {
	mu      sync.Mutex
	tracked map[uint64]*trackedRollout // by ID
}

// trackedRollout is one rollout under way.
type trackedRollout struct {
	since      time.Time // when this host first knew of it
	switchedAt time.Time // when this host first saw the Switching stage
	// answersAtSwitch is the number of answers of the new version at that time.
	answersAtSwitch int
	history         rollout.History
	// reports are the latest of each incarnation of a gateway. Those of earlier
	// incarnations still count as evidence.
	reports map[reporter]rollout.Report
}

// reporter is one incarnation of a gateway.
type reporter struct{ name, incarnation string }

// StartRollout orders that a service's traffic moves to engines of a version. The order is
// in the ledger when it returns without an error. The error is ErrUnavailable,
// ErrRolloutUnderWay, ErrInvalidRollout, or a NotFound for an unknown service.
func (c *Controller) StartRollout(ctx context.Context, service, version string, duration time.Duration) error {
	if version == "" || duration <= 0 {
		return ErrInvalidRollout
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result := ledger.Result{Stale: true}
	var err error
	for err == nil && result.Stale {
		result, err = c.orderRollout(ctx, ledger.StartRollout{Service: service, Version: version, Duration: duration})
	}
	if err == nil && result.Busy {
		err = ErrRolloutUnderWay
	}
	c.Log.Info("rollout ordered", zap.String("service", service), zap.String("version", version), zap.Duration("duration", duration), zap.Bool("changed", result.Changed), telemetry.ErrorField(err))
	return err
}

// orderRollout submits an order, which the leader rejects as stale if another one was
// applied after this host read the state.
func (c *Controller) orderRollout(ctx context.Context, order ledger.StartRollout) (ledger.Result, error) {
	seen, err := c.waitUntilCurrent(ctx)
	if err != nil {
		return ledger.Result{}, err
	}
	if _, ok := catalog.NewTable(c.machine.State().Catalog).Service(order.Service); !ok {
		return ledger.Result{}, errors.NotFoundf("service %q", order.Service)
	}
	order.Seen = seen
	return c.submit(ctx, order)
}

// Rollout returns the latest rollout of a service, as of every order that was accepted
// before the call. The error is ErrUnavailable, or a NotFound if there is none.
func (c *Controller) Rollout(ctx context.Context, service string) (rollout.Rollout, error) {
	if _, err := c.waitUntilCurrent(ctx); err != nil {
		return rollout.Rollout{}, err
	}
	r, ok := c.machine.State().Rollouts[service]
	if !ok {
		return rollout.Rollout{}, errors.NotFoundf("rollout of service %q", service)
	}
	return r, nil
}

// receive stores the reports that a gateway's Sync call contains.
func (t *rollouts) receive(args follow.SyncArgs) {
	if len(args.Rollouts) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, report := range args.Rollouts {
		if tracked, ok := t.tracked[report.Rollout]; ok {
			tracked.reports[reporter{args.Self.Name, args.Self.Life}] = report
		}
	}
}

// track starts tracking the rollouts that are under way in a state, and stops tracking the
// others.
func (t *rollouts) track(state ledger.State, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	active := make(map[uint64]*trackedRollout)
	for _, r := range state.Rollouts {
		if r.Stage.IsFinal() {
			continue
		}
		tracked, ok := t.tracked[r.ID]
		if !ok {
			tracked = &trackedRollout{since: now, reports: make(map[reporter]rollout.Report)}
		}
		if r.Stage == rollout.Switching && tracked.switchedAt.IsZero() {
			tracked.switchedAt, tracked.answersAtSwitch = now, rollout.NewAnswers(tracked.sums())
		}
		active[r.ID] = tracked
	}
	t.tracked = active
}

// sums adds up the reports of all gateways.
func (t *trackedRollout) sums() []rollout.RouteCounts {
	return rollout.Sum(slices.Collect(maps.Values(t.reports)))
}

// progress returns what is known about a rollout under way. gateways are those that run.
func (t *rollouts) progress(r rollout.Rollout, gateways []roster.Host, now time.Time) (rollout.Progress, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, ok := t.tracked[r.ID]
	if !ok {
		return rollout.Progress{}, false
	}
	sums := tracked.sums()
	out := rollout.Progress{Rollout: r, Elapsed: now.Sub(tracked.since), Sums: sums, Recent: tracked.history.Recent(sums), AnswersAtSwitch: tracked.answersAtSwitch}
	tracked.history.Add(now, sums)
	if !tracked.switchedAt.IsZero() {
		out.Switched = now.Sub(tracked.switchedAt)
	}
	for _, h := range gateways {
		// A gateway that hasn't reported yet has not applied the stage either.
		out.Connected = append(out.Connected, tracked.reports[reporter{h.Name, h.Life}])
	}
	return out, true
}

// driveRollouts moves the rollouts under way from stage to stage while this host leads the
// ledger's log, until ctx ends.
func (c *Controller) driveRollouts(ctx context.Context) error {
	duty.Every(ctx, rolloutInterval, func() {
		state := c.machine.State()
		c.rollouts.track(state, c.Clock())
		if !c.IsLeader() {
			return
		}
		for _, r := range state.Rollouts {
			c.driveRollout(ctx, r, state)
		}
	})
	return nil
}

// driveRollout proposes the next stage of a rollout if it is due.
func (c *Controller) driveRollout(ctx context.Context, r rollout.Rollout, state ledger.State) {
	progress, ok := c.rollouts.progress(r, c.roster.Hosts(roster.RoleGateway), c.Clock())
	if !ok {
		return
	}
	progress.LongestAnswer, progress.Declared = longestAnswer(state.Catalog, r.Service)
	decision := c.RolloutPolicy.Decide(progress)
	if decision.Stage == r.Stage {
		return
	}
	_, err := c.submit(ctx, ledger.SetRolloutStage{Service: r.Service, ID: r.ID, Stage: decision.Stage})
	c.Log.Info("rollout stage changed", zap.String("service", r.Service), zap.String("version", r.Version), zap.String("from", string(r.Stage)), zap.String("to", string(decision.Stage)),
		zap.String("why", decision.Reason), zap.Duration("elapsed", progress.Elapsed), zap.Int("gateways", len(progress.Connected)), telemetry.ErrorField(err))
}

// longestAnswer returns the longest timeout of the routes to a service, and whether the
// catalog declares the service.
func longestAnswer(c catalog.Catalog, service string) (longest time.Duration, declared bool) {
	for _, s := range c.Services {
		declared = declared || s.Name == service
	}
	for _, r := range c.Routes {
		for _, b := range r.Backends {
			if b.Service == service {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest, declared
}
