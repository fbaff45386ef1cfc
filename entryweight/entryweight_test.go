package entryweight_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/linenscale/linenscale/entryweight"
)

// Sizes of two kinds of gateways of one deployment.
var (
	small = entryweight.Size{Millicores: 144, LinkKbps: 7500}
	large = entryweight.Size{Millicores: 480, LinkKbps: 25000}
)

func gatewaysOf(sizes ...entryweight.Size) []entryweight.Gateway {
	var out []entryweight.Gateway
	for _, size := range sizes {
		out = append(out, entryweight.Gateway{Size: size})
	}
	return out
}

func repeat(size entryweight.Size, n int) []entryweight.Size {
	out := make([]entryweight.Size, n)
	for i := range out {
		out[i] = size
	}
	return out
}

// callersShare plays callers that ask once a second, or keep each answer for three times as
// long, and that open a connection every 50 ms to an address of their answer. It returns
// which share of the connections each gateway got.
func callersShare(gateways func(now time.Duration) []entryweight.Gateway, random *rand.Rand) []float64 {
	const callers, length, ttl, interval = 200, 60 * time.Second, time.Second, 50 * time.Millisecond
	out := make([]float64, len(gateways(0)))
	for caller := range callers {
		keeps := ttl
		if caller%2 == 0 {
			keeps = 3 * ttl
		}
		var answer []int
		expires := time.Duration(random.Int64N(int64(keeps)))
		for now := time.Duration(0); now < length; now += interval {
			if answer == nil || now >= expires {
				answer = entryweight.Draw(gateways(now), 64, random.Float64())
				expires = now + keeps
			}
			out[answer[random.IntN(len(answer))]] += interval.Seconds() / length.Seconds() / callers
		}
	}
	return out
}

// TestCallersFollowSizes checks that each gateway gets connections in proportion to its
// size, within a tenth, from callers that keep answers for three times their time to live.
func TestCallersFollowSizes(t *testing.T) {
	for name, sizes := range map[string][]entryweight.Size{
		"half small":    append(repeat(small, 12), repeat(large, 12)...),
		"few small":     append(repeat(small, 2), repeat(large, 9)...),
		"few large":     append(repeat(small, 20), repeat(large, 3)...),
		"three":         {large, small, large},
		"one small":     {large, small, large, large},
		"more than fit": append(repeat(small, 60), repeat(large, 60)...),
		"three kinds":   append(append(repeat(small, 6), repeat(large, 6)...), repeat(entryweight.Size{Millicores: 240, LinkKbps: 12_500}, 6)...),
	} {
		t.Run(name, func(t *testing.T) {
			gateways := gatewaysOf(sizes...)
			shares := callersShare(func(time.Duration) []entryweight.Gateway { return gateways }, rand.New(rand.NewPCG(1, 2)))
			sum := 0.0
			for _, size := range sizes {
				sum += float64(size.Millicores)
			}
			byKind := make(map[entryweight.Size]float64) // the sum of the shares relative to those wanted
			counts := make(map[entryweight.Size]float64)
			for i, size := range sizes {
				byKind[size] += shares[i] * sum / float64(size.Millicores)
				counts[size]++
			}
			for size, relative := range byKind {
				t.Logf("%d millicores: %.3f of its share", size.Millicores, relative/counts[size])
				must.Between(t, 0.9, relative/counts[size], 1.1)
			}
		})
	}
}

// TestAlikeGatewaysAreAllNamed checks that nothing changes where gateways don't differ, and
// where nothing is known of them.
func TestAlikeGatewaysAreAllNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 100).Draw(t, "gateways")
		one := entryweight.Gateway{
			Size: entryweight.Size{Millicores: rapid.Int32().Draw(t, "millicores"), LinkKbps: rapid.Int32().Draw(t, "link")},
			Load: entryweight.Load(rapid.Uint8().Draw(t, "load")), Age: time.Duration(rapid.Int64().Draw(t, "age")),
		}
		gateways := make([]entryweight.Gateway, n)
		for i := range gateways {
			gateways[i] = one
		}
		must.SliceLen(t, n, entryweight.Draw(gateways, 64, rapid.Float64Range(0, 0.999).Draw(t, "random")))
	})
}

func drawGateways(t *rapid.T, minimum int) []entryweight.Gateway {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) entryweight.Gateway {
		return entryweight.Gateway{
			Size: entryweight.Size{Millicores: rapid.Int32().Draw(t, "millicores"), LinkKbps: rapid.Int32().Draw(t, "link")},
			Load: entryweight.Load(rapid.Uint8Range(0, 5).Draw(t, "load")), Age: time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "age")),
		}
	}), minimum, 100).Draw(t, "gateways")
}

// TestAnswersAreBounded checks with any sizes and loads, nonsense too, that an answer names each
// gateway at most once, at least two of those that serve, at most 64 if they differ, and
// none that can't serve unless none can.
func TestAnswersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := drawGateways(t, 1)
		weights := entryweight.Weights(gateways)
		serving, alike := 0, true
		for _, w := range weights {
			must.False(t, math.IsNaN(w) || math.IsInf(w, 0) || w < 0)
			alike = alike && w == weights[0]
			if w > 0 {
				serving++
			}
		}
		must.Positive(t, serving)
		answer := entryweight.Draw(gateways, 64, rapid.Float64Range(0, 0.999999).Draw(t, "random"))
		must.GreaterEq(t, min(2, serving), len(answer))
		if !alike {
			must.LessEq(t, min(64, serving), len(answer))
		}
		for i, g := range answer {
			must.Positive(t, weights[g])
			must.True(t, i == 0 || answer[i-1] < g)
		}
	})
}

// timesNamed returns in which share of the answers each gateway is named.
func timesNamed(gateways []entryweight.Gateway) []float64 {
	return timesNamedOf(gateways, 10_000)
}

func timesNamedOf(gateways []entryweight.Gateway, answers int) []float64 {
	out := make([]float64, len(gateways))
	for i := range answers {
		for _, g := range entryweight.Draw(gateways, 64, (float64(i)+0.5)/float64(answers)) {
			out[g] += 1 / float64(answers)
		}
	}
	return out
}

// TestLargestAreAlwaysNamed guards against answers that leave healthy gateways out because
// others are smaller or busy: callers no longer use their connections to those.
func TestLargestAreAlwaysNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := gatewaysOf(append(repeat(large, rapid.IntRange(2, 30).Draw(t, "large")), repeat(small, rapid.IntRange(0, 30).Draw(t, "small"))...)...)
		for i := 2; i < len(gateways); i++ {
			gateways[i].Load = entryweight.Load(rapid.Uint8Range(0, 3).Draw(t, "load"))
		}
		weights := entryweight.Weights(gateways)
		for i, share := range timesNamedOf(gateways, 1000) {
			switch weights[i] {
			case weights[0]:
				must.InDelta(t, 1, share, 1e-6)
			case 0:
				must.Zero(t, share)
			default:
				must.Between(t, 1e-9, share, 1)
			}
		}
	})
}

// TestBusyGatewayMovesNoOthers guards against an answer that leaves a healthy gateway out because
// one of several alike is busy.
func TestBusyGatewayMovesNoOthers(t *testing.T) {
	for _, n := range []int{3, 4, 12, 64} {
		gateways := gatewaysOf(repeat(large, n)...)
		gateways[n/2].Load = entryweight.Busy
		for i, share := range timesNamed(gateways) {
			if i == n/2 {
				must.Between(t, 0.4, share, 0.7)
			} else {
				must.InDelta(t, 1, share, 1e-6)
			}
		}
	}
}

// TestSmallGatewayIsNamedInProportion checks the frequency in answers: a gateway of 0.3 of the
// size is named 0.3 times as often.
func TestSmallGatewayIsNamedInProportion(t *testing.T) {
	named := timesNamed(gatewaysOf(append(repeat(small, 3), repeat(large, 7)...)...))
	must.InDelta(t, 0.3, named[0]/named[9], 0.01)
}

// TestScarcestResourceDecides checks that a gateway gets no more than its link or its processor
// capacity allows, whichever is less.
func TestScarcestResourceDecides(t *testing.T) {
	sizes := repeat(large, 9)
	sizes[0].LinkKbps, sizes[1].LinkKbps = small.LinkKbps, 40*large.LinkKbps
	sizes[2].Millicores = small.Millicores
	weights := entryweight.Weights(gatewaysOf(sizes...))
	for i, want := range []float64{0.3, 1, 0.3, 1} {
		must.InDelta(t, want, weights[i], 1e-9)
	}
}

// TestLoadedGatewayIsStillNamed guards against a gateway that is never named again after it was
// slow: nobody would see that it has recovered.
func TestLoadedGatewayIsStillNamed(t *testing.T) {
	gateways := gatewaysOf(repeat(large, 10)...)
	gateways[0].Size, gateways[0].Load = entryweight.Size{Millicores: 1, LinkKbps: 1}, entryweight.Overloaded
	named := timesNamed(gateways)
	must.Between(t, 0.04, named[0], 0.06)
	gateways[0].Load = entryweight.CannotServe
	must.Eq(t, 0, timesNamed(gateways)[0])
}

// TestAllGatewaysSlow guards against answers without gateways while all are slow or none is
// ready.
func TestAllGatewaysSlow(t *testing.T) {
	for _, load := range []entryweight.Load{entryweight.Busy, entryweight.Overloaded, entryweight.CannotServe} {
		gateways := gatewaysOf(repeat(large, 5)...)
		for i := range gateways {
			gateways[i].Load = load
		}
		must.SliceLen(t, 5, entryweight.Draw(gateways, 64, 0.5))
		gateways[0].Size = small
		for _, share := range timesNamed(gateways) {
			must.Positive(t, share)
		}
	}
}

// TestOldReportsAreNeutral guards against a directory that lags: it names all gateways whose
// sizes and loads are from before what callers have now.
func TestOldReportsAreNeutral(t *testing.T) {
	gateways := gatewaysOf(small, large, large, small)
	for i := range gateways {
		gateways[i].Age, gateways[i].Load = 4*time.Second, entryweight.Load(i)
	}
	must.SliceLen(t, 4, entryweight.Draw(gateways, 64, 0.5))
}

// TestNonsenseIsClamped guards against a host that announces an absurd size: it may get
// eight times the share of the others, and no more, and one that announces nearly nothing
// gets some.
func TestNonsenseIsClamped(t *testing.T) {
	gateways := gatewaysOf(append(repeat(large, 20), entryweight.Size{Millicores: math.MaxInt32, LinkKbps: math.MaxInt32}, entryweight.Size{Millicores: math.MinInt32}, entryweight.Size{Millicores: 1})...)
	weights := entryweight.Weights(gateways)
	must.Eq(t, 1, weights[0])
	must.Eq(t, 8, weights[20])
	must.Eq(t, 1, weights[21])
	must.Eq(t, 0.4, weights[22])
}

// TestCallersLeaveSlowGateway plays a gateway that is overloaded for a while: callers that keep
// answers for three times their time to live leave it, and come back.
func TestCallersLeaveSlowGateway(t *testing.T) {
	sizes := append(repeat(small, 5), repeat(large, 5)...)
	share := func(load entryweight.Load) float64 {
		gateways := gatewaysOf(sizes...)
		gateways[9].Load = load
		return callersShare(func(time.Duration) []entryweight.Gateway { return gateways }, rand.New(rand.NewPCG(3, 4)))[9]
	}
	normal := share(entryweight.Normal)
	t.Logf("%.3f of the connections, %.3f while overloaded", normal, share(entryweight.Overloaded))
	must.Less(t, normal/3, share(entryweight.Overloaded))
	must.Positive(t, share(entryweight.Overloaded))
}

// TestPickFollowsWeights checks that single picks follow sizes and loads as answers do, and that
// alike gateways are picked by the random number alone.
func TestPickFollowsWeights(t *testing.T) {
	const picks = 100_000
	gateways := gatewaysOf(small, large, large, large)
	gateways[2].Load, gateways[3].Load = entryweight.Busy, entryweight.CannotServe
	counts := make([]float64, len(gateways))
	random := rand.New(rand.NewPCG(5, 6))
	for range picks {
		counts[entryweight.Pick(gateways, random.Uint64())] += 1.0 / picks
	}
	for i, want := range []float64{0.3 / 1.8, 1 / 1.8, 0.5 / 1.8, 0} {
		must.InDelta(t, want, counts[i], 0.01)
	}
	must.Eq(t, 1, entryweight.Pick(gatewaysOf(large, large, large), 4))
}

// TestLevelsChangeSeldom checks that a level rises once its cause has lasted for a second, ends
// only when the cause has clearly passed, and lasts as long as callers need to act upon it.
func TestLevelsChangeSeldom(t *testing.T) {
	const interval = 250 * time.Millisecond
	var m entryweight.Meter
	now := time.Unix(1000, 0)
	for _, step := range []struct {
		length  time.Duration
		delay   time.Duration
		buffers float64
		want    entryweight.Load // at its end
	}{
		{time.Second, 50 * time.Millisecond, 0, entryweight.Normal},
		{750 * time.Millisecond, 400 * time.Millisecond, 0, entryweight.Normal},
		{time.Second, 50 * time.Millisecond, 0, entryweight.Normal},
		{time.Second, 130 * time.Millisecond, 0, entryweight.Normal},
		{interval, 130 * time.Millisecond, 0, entryweight.Busy},
		{time.Second, 400 * time.Millisecond, 0, entryweight.Busy},
		{interval, 400 * time.Millisecond, 0, entryweight.Overloaded},
		{time.Second, 0, 0, entryweight.Overloaded}, // for two seconds at least
		{3 * time.Second, 250 * time.Millisecond, 0, entryweight.Overloaded},
		{time.Second, 150 * time.Millisecond, 0, entryweight.Busy},
		{3 * time.Second, 100 * time.Millisecond, 0, entryweight.Busy},
		{time.Second, 0, 0, entryweight.Normal},
		{750 * time.Millisecond, 0, 0.6, entryweight.Normal}, // one body
		{3 * time.Second, 0, 0, entryweight.Normal},
		{5 * time.Second, 0, 0.6, entryweight.Busy},
		{5 * time.Second, 0, 0.9, entryweight.Overloaded},
		{10 * time.Second, 0, 0, entryweight.Normal},
	} {
		var got entryweight.Load
		for end := now.Add(step.length); now.Before(end); {
			now = now.Add(interval)
			got = m.Observe(entryweight.Measurement{Delay: step.delay, Buffers: step.buffers, Ready: true}, now)
		}
		must.Eq(t, step.want, got, must.Sprint(step))
	}
	must.Eq(t, entryweight.CannotServe, m.Observe(entryweight.Measurement{}, now))
	must.Eq(t, entryweight.Normal, m.Observe(entryweight.Measurement{Ready: true}, now))
}

// TestOneLargeBodyIsNoLoad guards against a gateway that is named less because one body or answer
// fills its buffers for a moment.
func TestOneLargeBodyIsNoLoad(t *testing.T) {
	var m entryweight.Meter
	now := time.Unix(1000, 0)
	for i := range 100 {
		buffers := 0.0
		if i%8 == 0 { // a quarter of a second every two
			buffers = 1
		}
		now = now.Add(250 * time.Millisecond)
		must.Eq(t, entryweight.Normal, m.Observe(entryweight.Measurement{Buffers: buffers, Ready: true}, now))
	}
}

func BenchmarkDraw(b *testing.B) {
	gateways := gatewaysOf(append(repeat(small, 250), repeat(large, 250)...)...)
	random := rand.New(rand.NewPCG(1, 2))
	for b.Loop() {
		entryweight.Draw(gateways, 64, random.Float64())
	}
}
