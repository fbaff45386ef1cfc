package enginespeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/enginespeed"
	"github.com/linenscale/linenscale/internal/rendezvous"
)

// simulatedService is a service whose engines' first events many gateways observe. Each
// expects 100 ms at the mean speed.
type simulatedService struct {
	random   *rand.Rand
	now      time.Time
	speeds   []float64
	evidence [][]enginespeed.Evidence // by engine and gateway
	tracks   []*enginespeed.Track
	skew     map[int]float64 // factor of what a gateway measures, if not 1
}

func newSimulatedService(gateways int, speeds ...float64) *simulatedService {
	s := &simulatedService{random: rand.New(rand.NewPCG(1, 1)), now: time.Unix(1000, 0), speeds: speeds, skew: make(map[int]float64)}
	for range speeds {
		s.evidence = append(s.evidence, make([]enginespeed.Evidence, gateways))
		s.tracks = append(s.tracks, &enginespeed.Track{})
	}
	return s
}

// run lets each engine begin so many answers per second, at random gateways, and updates the
// estimates ten times a second.
func (s *simulatedService) run(length time.Duration, perSecond float64) {
	const interval = 100 * time.Millisecond
	for end := s.now.Add(length); s.now.Before(end); {
		s.now = s.now.Add(interval)
		for i, speed := range s.speeds {
			for range int(perSecond*interval.Seconds() + s.random.Float64()) {
				gateway := s.random.IntN(len(s.evidence[i]))
				took := 0.1 / speed * math.Exp(0.6*s.random.NormFloat64())
				if skew, skewed := s.skew[gateway]; skewed {
					took = 0.1 * skew
				}
				s.evidence[i][gateway].ObserveFirstEvent(100*time.Millisecond, time.Duration(took*float64(time.Second)), 30*time.Millisecond, s.tracks[i].Speed(), s.now)
			}
		}
		s.update()
	}
}

func (s *simulatedService) update() { enginespeed.Update(s.tracks, s.sums(), s.now) }

// sums returns the evidence of all gateways about each engine.
func (s *simulatedService) sums() []enginespeed.Sum {
	sums := make([]enginespeed.Sum, len(s.speeds))
	for i := range s.speeds {
		for _, e := range s.evidence[i] {
			sums[i] = sums[i].Plus(e.Sum(len(s.evidence[i]), s.now))
		}
	}
	return sums
}

// ratio returns the estimated speed of one engine relative to another's, as a share of the
// true one.
func (s *simulatedService) ratio(i, j int) float64 {
	return s.tracks[i].Speed() / s.tracks[j].Speed() / (s.speeds[i] / s.speeds[j])
}

// repeated returns the speeds n times in turn.
func repeated(n int, speeds ...float64) (out []float64) {
	for range n {
		out = append(out, speeds...)
	}
	return out
}

// TestSpeedsAreKnownWithinTwoSeconds lets 69 gateways see few answers of each engine.
// Estimates may be off by a quarter, which is what a queue of the usual length varies by.
func TestSpeedsAreKnownWithinTwoSeconds(t *testing.T) {
	for _, speeds := range [][]float64{{0.6, 1, 1.6}, {0.4, 1, 2}} {
		s := newSimulatedService(69, repeated(10, speeds...)...)
		s.run(2*time.Second, 15)
		sum := make([]float64, 3)
		for i, track := range s.tracks {
			sum[i%3] += math.Log(track.Speed()) / 10
		}
		for k := range 3 {
			t.Logf("speed %g: %.2f", speeds[k], math.Exp(sum[k]))
			must.Between(t, 0.75, math.Exp(sum[k]-sum[1])/speeds[k], 1.25)
		}
		s.run(4*time.Second, 15)
		for i := range s.tracks {
			must.Between(t, 0.7, s.ratio(i, 1), 1.4, must.Sprint(i, s.tracks[i].Speed()))
		}
	}
}

// TestChangeOfSpeedIsSeenAsFast slows a fast engine down, and speeds a slow one up.
func TestChangeOfSpeedIsSeenAsFast(t *testing.T) {
	s := newSimulatedService(69, repeated(10, 0.5, 1, 1.6)...)
	s.run(10*time.Second, 15)
	s.speeds[0], s.speeds[2] = 1.6, 0.5
	s.run(2*time.Second, 15)
	t.Logf("0.5 to 1.6: %.2f; 1.6 to 0.5: %.2f", s.tracks[0].Speed(), s.tracks[2].Speed())
	must.Greater(t, s.tracks[2].Speed(), s.tracks[0].Speed())
	s.run(2*time.Second, 15)
	must.Between(t, 0.7, s.ratio(0, 1), 1.4)
	must.Between(t, 0.7, s.ratio(2, 1), 1.4)
}

// TestLikeEnginesCountAsAlike guards against choices that follow noise.
func TestLikeEnginesCountAsAlike(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2, 15} {
		s := newSimulatedService(30, repeated(40, 1)...)
		deviating, all := 0, 0
		for range 30 {
			s.run(time.Second, perSecond)
			for _, track := range s.tracks {
				all++
				if speed := track.Speed(); speed < 0.9 || speed > 1.1 {
					deviating++
				}
			}
		}
		t.Logf("%g per second: %d of %d deviate", perSecond, deviating, all)
		must.Less(t, all/10, deviating)
	}
}

// TestOneWrongGatewayMovesNoEngineFar lets one gateway of eight measure far too much or too little.
func TestOneWrongGatewayMovesNoEngineFar(t *testing.T) {
	for _, skew := range []float64{0.05, 20} {
		s := newSimulatedService(8, repeated(5, 0.6, 1, 1.6)...)
		s.skew[0] = skew
		s.run(6*time.Second, 15)
		for i := range s.tracks {
			must.Between(t, 0.6, s.ratio(i, 1), 1.6, must.Sprint(skew, i, s.tracks[i].Speed()))
		}
	}
}

// TestCommonErrorsDontMatter lets all answers take four times the expected time, as while a
// service's usual times aren't known.
func TestCommonErrorsDontMatter(t *testing.T) {
	s := newSimulatedService(30, repeated(10, 0.3, 0.3, 0.3)...)
	s.run(3*time.Second, 15)
	deviating := 0
	for _, track := range s.tracks {
		if speed := track.Speed(); speed < 0.75 || speed > 1.33 {
			deviating++
		}
	}
	must.Less(t, len(s.tracks)/10, deviating)
}

// TestSingleSlowEngineIsDetected lets one engine take four times as long as the others, and then
// as long: a single slow answer must count little, ten must show it, and it must be forgotten.
func TestSingleSlowEngineIsDetected(t *testing.T) {
	s := newSimulatedService(1, repeated(10, 1)...)
	for i := range s.speeds {
		for range 10 {
			s.evidence[i][0].ObserveFirstEvent(100*time.Millisecond, 100*time.Millisecond, 30*time.Millisecond, 1, s.now)
		}
	}
	s.update()
	slow := &s.evidence[0][0]
	*slow = enginespeed.Evidence{}
	slow.ObserveFirstEvent(100*time.Millisecond, 10*time.Second, 30*time.Millisecond, 1, s.now)
	s.update()
	must.Greater(t, 0.5, s.tracks[0].Speed())
	s.tracks[0] = &enginespeed.Track{}
	for range 10 {
		slow.ObserveFirstEvent(100*time.Millisecond, 400*time.Millisecond, 30*time.Millisecond, 1, s.now)
	}
	s.update()
	must.Between(t, 0.2, s.tracks[0].Speed(), 0.4)
	s.now = s.now.Add(30 * time.Second)
	s.update()
	must.Between(t, 0.83, s.tracks[0].Speed(), 1.0)
	for range 20 {
		slow.ObserveFirstEvent(100*time.Millisecond, 100*time.Millisecond, 30*time.Millisecond, 1, s.now)
	}
	s.update()
	must.Between(t, 0.77, s.tracks[0].Speed(), 1.11)
}

// TestSpeedsAreForgottenWithoutTraffic lets reports and answers stop.
func TestSpeedsAreForgottenWithoutTraffic(t *testing.T) {
	s := newSimulatedService(8, repeated(5, 0.5, 1, 2)...)
	s.run(6*time.Second, 15)
	must.NotEq(t, 0, s.tracks[2].Step())
	s.run(30*time.Second, 0)
	for _, track := range s.tracks {
		must.Eq(t, 1, track.Speed())
		must.Eq(t, 0, track.Step())
		must.True(t, track.IsIdle())
	}
}

// TestStepsAreSteady guards against homes of prompts that move with each estimate.
func TestStepsAreSteady(t *testing.T) {
	s := newSimulatedService(30, repeated(10, 0.6, 1, 1.6)...)
	s.run(5*time.Second, 15)
	changes := 0
	for range 200 {
		before := make([]enginespeed.Step, len(s.tracks))
		for i, track := range s.tracks {
			before[i] = track.Step()
		}
		s.run(100*time.Millisecond, 15)
		for i, track := range s.tracks {
			if track.Step() != before[i] {
				changes++
			}
		}
	}
	t.Logf("%d changes of 30 engines in 20 s", changes)
	must.LessEq(t, 60, changes) // each engine's once in ten seconds
}

// TestGatewaysAgreeOnHomes compares the homes by the steps of a gateway with those of one that started 3 s
// later and receives evidence 0.4 s later. Prompts whose homes they see differently are read
// twice.
func TestGatewaysAgreeOnHomes(t *testing.T) {
	s := newSimulatedService(30, repeated(10, 0.6, 1, 1.6)...)
	s.run(3*time.Second, 15)
	other := newSimulatedService(1, s.speeds...).tracks
	var late [][]enginespeed.Sum
	different, all := 0, 0
	for range 200 {
		s.run(100*time.Millisecond, 15)
		late = append(late, s.sums())
		if len(late) <= 4 {
			continue
		}
		enginespeed.Update(other, late[len(late)-5], s.now)
		for key := range uint64(100) {
			all++
			if home(key, s.tracks) != home(key, other) {
				different++
			}
		}
	}
	t.Logf("%d of %d homes differ", different, all)
	must.Less(t, all/20, different)
}

// home returns the engine that ranks first for a key.
func home(key uint64, tracks []*enginespeed.Track) (best int) {
	highest := 0.0
	for i, track := range tracks {
		if weight := rendezvous.Weighted(rendezvous.Rank(key, uint64(i)), track.Step().Speed()); weight > highest {
			best, highest = i, weight
		}
	}
	return best
}

// TestTimePerToken adds streams of several gateways.
func TestTimePerToken(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b enginespeed.Evidence
	a.ObserveTokens(30, 300*time.Millisecond, now)
	must.Eq(t, 0, a.Sum(2, now).PerToken())
	b.ObserveTokens(30, 600*time.Millisecond, now)
	must.Eq(t, 15*time.Millisecond, a.Sum(2, now).Plus(b.Sum(2, now)).PerToken())
}

// TestSpeedsAreBounded adds arbitrary observations.
func TestSpeedsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulatedService(rapid.IntRange(1, 4).Draw(t, "gateways"), repeated(rapid.IntRange(1, 5).Draw(t, "engines"), 1)...)
		durations := rapid.Int64Range(-int64(time.Second), int64(time.Hour))
		for range rapid.IntRange(1, 30).Draw(t, "observations") {
			e := &s.evidence[rapid.IntRange(0, len(s.speeds)-1).Draw(t, "engine")][0]
			e.ObserveFirstEvent(time.Duration(durations.Draw(t, "expected")), time.Duration(durations.Draw(t, "took")), time.Duration(durations.Draw(t, "error")), s.tracks[0].Speed(), s.now)
			s.now = s.now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(10*time.Second)).Draw(t, "step")))
			s.update()
			for _, track := range s.tracks {
				must.Between(t, 1.0/64, track.Speed(), 64)
				must.Between(t, -enginespeed.MaxStep, track.Step(), enginespeed.MaxStep)
			}
		}
	})
}

func ExampleUpdate() {
	now := time.Unix(1000, 0)
	var fast, slow enginespeed.Evidence
	for range 50 {
		fast.ObserveFirstEvent(100*time.Millisecond, 50*time.Millisecond, 0, 1, now)
		slow.ObserveFirstEvent(100*time.Millisecond, 200*time.Millisecond, 0, 1, now)
	}
	var tracks [2]enginespeed.Track
	enginespeed.Update([]*enginespeed.Track{&tracks[0], &tracks[1]}, []enginespeed.Sum{fast.Sum(1, now), slow.Sum(1, now)}, now)
	fmt.Println(tracks[0].Speed() > tracks[1].Speed())
	// Output: true
}
