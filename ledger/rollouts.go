// This file defines the commands that concern rollouts.

package ledger

import (
	"maps"
	"time"

	"github.com/linenscale/linenscale/rollout"
)

// StartRollout orders a rollout. A repeated order changes nothing, also after its rollout
// has ended. An order is rejected as Busy while another rollout of the service is under
// way, and as Stale if another one was ordered after the proposer read the state.
type StartRollout struct {
	Service  string        `json:"service"`
	Version  string        `json:"version"`
	Duration time.Duration `json:"duration"`
	Seen     uint64        `json:"seen"` // log index up to which the proposer had seen earlier orders
}

// SetRolloutStage moves a rollout to its next stage. It changes nothing if the rollout has
// been superseded or may not enter that stage from its current one.
type SetRolloutStage struct {
	Service string        `json:"service"`
	ID      uint64        `json:"id"`
	Stage   rollout.Stage `json:"stage"`
}

func (c StartRollout) rollout(index uint64) rollout.Rollout {
	return rollout.Rollout{ID: index, Service: c.Service, Version: c.Version, Duration: c.Duration, Stage: rollout.Canary}
}

// applyStartRollout returns the state after a StartRollout command.
func (s State) applyStartRollout(c StartRollout, index uint64) (next State, stale, busy bool) {
	order := c.rollout(index)
	latest, known := s.Rollouts[c.Service]
	switch {
	case known && latest.IsRepeat(order):
		return s, false, false
	case known && latest.ID > c.Seen:
		return s, true, false
	case known && !latest.Stage.IsFinal():
		return s, false, true
	default:
		return s.withRollout(order, index), false, false
	}
}

// applyRolloutStage returns the state after a SetRolloutStage command.
func (s State) applyRolloutStage(c SetRolloutStage, index uint64) State {
	r, known := s.Rollouts[c.Service]
	if !known || r.ID != c.ID || !c.Stage.MayFollow(r.Stage) {
		return s
	}
	return s.withRollout(r.WithStage(c.Stage), index)
}

func (s State) withRollout(r rollout.Rollout, index uint64) State {
	rollouts := maps.Clone(s.Rollouts)
	if rollouts == nil {
		rollouts = make(map[string]rollout.Rollout)
	}
	rollouts[r.Service] = r
	s.Rollouts, s.Index = rollouts, index
	return s
}
