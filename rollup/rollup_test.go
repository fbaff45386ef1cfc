package rollup_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/rollup"
	"github.com/linenscale/linenscale/roster"
)

// testRegion runs the gateways of one region in virtual time. Messages arrive at once.
type testRegion struct {
	now          time.Time
	hosts        []roster.Host
	aggregators  map[string]*rollup.Aggregator // by address
	loads        map[string]int                // requests of each gateway, by address
	down         map[string]bool               // gateways that neither send nor receive, by address
	dropped      func(from, to string) bool
	bytes        map[string]int // sent and received, by address
	extraEngines int            // engines that each gateway uses besides the common one
	ownEngines   int            // engines that no other gateway uses
	speeds       int            // engines of whose speeds each gateway reports evidence
}

const (
	step   = 10 * time.Millisecond
	engine = 42 // the engine that all gateways use
)

// newTestRegion makes a region of that many gateways in two data centres.
func newTestRegion(gateways int) *testRegion {
	r := &testRegion{
		now: time.Unix(1000, 0), aggregators: make(map[string]*rollup.Aggregator), loads: make(map[string]int),
		down: make(map[string]bool), dropped: func(string, string) bool { return false }, bytes: make(map[string]int),
	}
	for i := range gateways {
		name := fmt.Sprintf("gateway-%03d", i)
		r.hosts = append(r.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: "here", DataCentre: fmt.Sprint("dc", i%2), Peer: name})
	}
	for _, h := range r.hosts {
		r.aggregators[h.Peer] = rollup.New(rollup.Deps{
			Self: h, Hosts: func() []roster.Host { return r.hosts }, Clock: func() time.Time { return r.now },
			IsSignificant: func(l rollup.EngineLoad) bool { return l.Engine == engine || l.Requests > 1 || r.ownEngines == 0 },
		})
	}
	return r
}

// advance runs the gateways for d. Each sends at its own offset in the interval.
func (r *testRegion) advance(d time.Duration) {
	for until := r.now.Add(d); r.now.Before(until); r.now = r.now.Add(step) {
		slot := int(r.now.UnixNano()/int64(step)) % int(rollup.ReportInterval/step)
		for i, h := range r.hosts {
			if i%int(rollup.ReportInterval/step) == slot && !r.down[h.Peer] {
				r.sendReport(h.Peer)
			}
		}
	}
}

func (r *testRegion) sendReport(from string) {
	report := rollup.Report{Engines: []rollup.EngineLoad{{Engine: engine, Requests: r.loads[from]}}}
	for i := range r.extraEngines {
		report.Engines = append(report.Engines, rollup.EngineLoad{Engine: math.MaxUint64 - uint64(i+len(from)*int(from[len(from)-1]))%72, Requests: 1, Unread: 3000, Reserved: 9000, ReadRate: 9000})
	}
	for i := range r.ownEngines {
		hash := xxhash.Sum64String(fmt.Sprint(from, i))
		report.Engines = append(report.Engines, rollup.EngineLoad{Engine: hash, Requests: 1, Unread: 300, Reserved: 9000, ReadRate: 9000})
	}
	if r.speeds > 0 {
		report.Speeds = append(report.Speeds, rollup.EngineSpeed{Engine: engine, LogSum: -37, Weight: 100, TokenMicros: 912_345, Tokens: 131})
	}
	for i := range r.speeds {
		hash := xxhash.Sum64String(fmt.Sprint((i + int(xxhash.Sum64String(from)%uint64(len(r.hosts)))) % len(r.hosts)))
		report.Speeds = append(report.Speeds, rollup.EngineSpeed{Engine: hash, LogSum: -37, Weight: 81, TokenMicros: 912_345, Tokens: 131})
	}
	for _, out := range r.aggregators[from].Outgoing(report) {
		data, err := cbor.Marshal(out.Message)
		if err != nil {
			panic(err)
		}
		for _, to := range out.To {
			r.bytes[from] += len(data)
			if r.aggregators[to] == nil || r.down[to] || r.dropped(from, to) {
				continue
			}
			r.bytes[to] += len(data)
			var m rollup.Message
			if err := cbor.Unmarshal(data, &m); err != nil {
				panic(err)
			}
			r.aggregators[to].Receive(m)
		}
	}
}

// peerRequests returns how many requests of other gateways a gateway counts.
func (r *testRegion) peerRequests(gateway string) int {
	return r.aggregators[gateway].PeerTotals().Loads[engine].Requests
}

// leaders lists the gateways that sum their groups.
func (r *testRegion) leaders() []string {
	var out []string
	for _, h := range r.hosts {
		if leads, _ := r.aggregators[h.Peer].LeaderStatus(); leads && !r.down[h.Peer] {
			out = append(out, h.Peer)
		}
	}
	return out
}

// checkPeerRequests checks that every gateway that is up has the exact sum of the others.
func (r *testRegion) checkPeerRequests(t *testing.T, note string) {
	t.Helper()
	for _, h := range r.hosts {
		want := 0
		for peer, load := range r.loads {
			if peer != h.Peer && !r.down[peer] {
				want += load
			}
		}
		if !r.down[h.Peer] {
			must.Eq(t, want, r.peerRequests(h.Peer), must.Sprintf("%s: requests of others at %s", note, h.Peer))
		}
	}
}

// TestLoadReachesAllGatewaysWithin300ms changes the load of one gateway in regions of
// different sizes. After 0.3 s all others must have the new sum, with no report lost or
// counted twice.
func TestLoadReachesAllGatewaysWithin300ms(t *testing.T) {
	for _, n := range []int{2, 9, 10, 17, 50, 100, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := newTestRegion(n)
			r.loads[r.hosts[n/2].Peer] = 3
			r.loads[r.hosts[0].Peer] = 2
			r.advance(time.Second)
			r.checkPeerRequests(t, "steady state")
			r.loads[r.hosts[n/2].Peer] = 8
			r.advance(300 * time.Millisecond)
			r.checkPeerRequests(t, "after a change")
		})
	}
}

// TestALostLeaderIsReplaced takes down a leader that stays in the list of gateways, as a
// killed, paused or partitioned one does at first. The others must get exact sums again
// without it, and after its return.
func TestALostLeaderIsReplaced(t *testing.T) {
	for _, n := range []int{20, 100, 200} {
		r := newTestRegion(n)
		for _, h := range r.hosts {
			r.loads[h.Peer] = 1
		}
		r.advance(time.Second)
		leaders := r.leaders()
		must.Positive(t, len(leaders))
		r.down[leaders[0]] = true
		r.advance(rollup.ReportTTL + 300*time.Millisecond)
		r.checkPeerRequests(t, "without its leader")
		r.down[leaders[0]] = false
		r.advance(time.Second)
		r.checkPeerRequests(t, "after the leader's return")
		must.Eq(t, leaders, r.leaders())
	}
}

// TestNoReportIsCountedTwice guards against sums that overlap: while a leader is down,
// after its return, and while groups split and merge because the list of gateways changes.
// No gateway may ever count more than there is.
func TestNoReportIsCountedTwice(t *testing.T) {
	r := newTestRegion(70)
	all := r.hosts
	for _, h := range all {
		r.loads[h.Peer] = 1
	}
	r.advance(time.Second)
	checkNoOvercount := func(note string) {
		for range 10 {
			r.advance(100 * time.Millisecond)
			for _, h := range r.hosts {
				must.LessEq(t, len(all)-1, r.peerRequests(h.Peer), must.Sprintf("%s: at %s", note, h.Peer))
			}
		}
	}
	leader := r.leaders()[0]
	r.down[leader] = true
	checkNoOvercount("a leader is down")
	r.down[leader] = false
	checkNoOvercount("the leader is back")
	r.hosts = all[:60] // another number of groups
	checkNoOvercount("ten gateways left the list")
	r.hosts = all[:8]
	checkNoOvercount("few gateways are left")
	r.hosts = all
	checkNoOvercount("all gateways are back")
	r.checkPeerRequests(t, "at the end")
}

// TestPartitionedDataCentresSumTheirOwnGateways partitions the two data centres. Each must
// have the exact sum of its own gateways, and of all after the partition ends.
func TestPartitionedDataCentresSumTheirOwnGateways(t *testing.T) {
	r := newTestRegion(60)
	centre := map[string]string{}
	for _, h := range r.hosts {
		r.loads[h.Peer] = 1
		centre[h.Peer] = h.DataCentre
	}
	r.dropped = func(from, to string) bool { return centre[from] != centre[to] }
	r.advance(time.Second)
	for _, h := range r.hosts {
		must.Eq(t, 29, r.peerRequests(h.Peer))
	}
	r.dropped = func(string, string) bool { return false }
	r.advance(time.Second)
	r.checkPeerRequests(t, "after the partition")
}

// TestMemberWithoutItsLeaderUsesTheNextCandidate partitions one gateway from the leader of
// its group. It must still get most of the region's reports, and none twice.
func TestMemberWithoutItsLeaderUsesTheNextCandidate(t *testing.T) {
	r := newTestRegion(100)
	for _, h := range r.hosts {
		r.loads[h.Peer] = 1
	}
	r.advance(time.Second)
	leaders := r.leaders()
	member := r.hosts[0].Peer
	r.dropped = func(from, to string) bool {
		return (from == member && to == leaders[0]) || (to == member && from == leaders[0])
	}
	r.advance(time.Second)
	must.Greater(t, 70, r.peerRequests(member))
	must.LessEq(t, 99, r.peerRequests(member))
}

// TestRemoteReportReachesAllGateways delivers another region's report to the gateways that
// RemoteLeaders names. They must forward it to every other gateway.
func TestRemoteReportReachesAllGateways(t *testing.T) {
	r := newTestRegion(100)
	r.advance(500 * time.Millisecond)
	to := rollup.RemoteLeaders(r.hosts, "here")
	must.SliceLen(t, 3, to)
	centres := map[string]bool{}
	for _, h := range r.hosts {
		if slices.Contains(to, h.Peer) {
			centres[h.DataCentre] = true
		}
	}
	must.MapLen(t, 2, centres, must.Sprint("the recipients must survive the loss of a data centre"))
	report := rollup.Message{From: "far", Remote: []rollup.RegionReport{{Region: "there", Digests: []byte("x")}}}
	for _, peer := range to {
		must.SliceLen(t, 1, r.aggregators[peer].Receive(report))
	}
	received := map[string]int{}
	for range 3 {
		for _, h := range r.hosts {
			for _, out := range r.aggregators[h.Peer].Outgoing(rollup.Report{}) {
				for _, peer := range out.To {
					received[peer] += len(r.aggregators[peer].Receive(out.Message))
				}
			}
		}
		r.now = r.now.Add(rollup.ReportInterval)
	}
	for _, h := range r.hosts {
		must.Positive(t, received[h.Peer], must.Sprint(h.Peer))
	}
}

// TestBytesGrowSublinearly bounds the traffic of the busiest gateway. Each gateway reports
// eight of 72 engines.
func TestBytesGrowSublinearly(t *testing.T) {
	maxBytes := func(n int) int {
		r := newTestRegion(n)
		r.extraEngines = 8
		r.advance(time.Second)
		clear(r.bytes)
		r.advance(time.Second)
		highest := 0
		for _, bytes := range r.bytes {
			highest = max(highest, bytes)
		}
		return highest
	}
	must.Less(t, 3*maxBytes(30), maxBytes(200), must.Sprint("bytes with 200 gateways against 30"))
}

// BenchmarkBytes measures what the busiest and the average gateway send and receive per
// second; each uses eight of 72 engines. At 10, 30, 100 and 200 gateways, the
// busiest gateway, a leader, has 78, 245, 444 and 550 KB and the mean is 28, 32, 44 and 56
// KB, with data no older than 0.3 s. When every gateway sent its report to all others
// itself, the traffic was 16, 26, 27 and 28 KB, and the data were 0.2, 0.4, 1.3 and 2.5 s
// old.
// TestMemberTrafficDoesNotGrowWithTheRegion guards against sums that contain every engine
// that runs anything: with engines of its own for each gateway, what a member sends and
// receives grew with the region, and that of a whole region with its square.
func TestMemberTrafficDoesNotGrowWithTheRegion(t *testing.T) {
	member, leader := map[int]float64{}, map[int]float64{}
	sizes := []int{30, 90, 270}
	for _, n := range sizes {
		r := newTestRegion(n)
		r.ownEngines = 2
		r.advance(time.Second)
		clear(r.bytes)
		r.advance(time.Second)
		leads := make(map[string]bool)
		for _, name := range r.leaders() {
			leads[name] = true
		}
		for name, bytes := range r.bytes {
			if leads[name] {
				leader[n] = max(leader[n], float64(bytes))
			} else {
				member[n] = max(member[n], float64(bytes))
			}
		}
		t.Logf("%d gateways: %.0f bytes a second for a member, %.0f for a leader, at most", n, member[n], leader[n])
	}
	power := func(bytes map[int]float64) float64 {
		return math.Log(bytes[sizes[2]]/bytes[sizes[0]]) / math.Log(float64(sizes[2])/float64(sizes[0]))
	}
	must.LessEq(t, 0.2, power(member))
	must.LessEq(t, 1, power(leader))
}

// TestOwnLoadIsNotSubtractedFromSumsWithoutIt guards against loads below zero, or too low
// ones of others, where a sum leaves out an engine that this gateway uses.
func TestOwnLoadIsNotSubtractedFromSumsWithoutIt(t *testing.T) {
	r := newTestRegion(40)
	r.ownEngines = 2
	for _, h := range r.hosts {
		r.loads[h.Peer] = 3
	}
	r.advance(2 * time.Second)
	for _, h := range r.hosts {
		totals := r.aggregators[h.Peer].PeerTotals()
		must.Eq(t, 3*39, totals.Loads[engine].Requests)
		for hash, load := range totals.Loads {
			must.GreaterEq(t, 0, load.Requests, must.Sprint(hash))
		}
	}
}

func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{10, 30, 100, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newTestRegion(n)
			r.extraEngines = 8
			r.advance(time.Second)
			clear(r.bytes)
			b.ResetTimer()
			for range b.N {
				r.advance(time.Second)
			}
			highest, sum := 0, 0
			for _, bytes := range r.bytes {
				highest = max(highest, bytes)
				sum += bytes
			}
			b.ReportMetric(float64(highest)/float64(b.N), "bytes/s-leader")
			b.ReportMetric(float64(sum)/float64(n*b.N), "bytes/s-mean")
		})
	}
}

// TestSpeedsAddUpOverGateways has every gateway report evidence of one engine's speed, which is
// sent in one of several reports. Each must count that of all others, and not its own, also
// while single messages are lost; what a gateway that has stopped saw must be forgotten.
func TestSpeedsAddUpOverGateways(t *testing.T) {
	for _, gateways := range []int{3, 8, 40, 120} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			r := newTestRegion(gateways)
			r.speeds = 1
			weight := func(gateway string) int { return r.aggregators[gateway].PeerTotals().Speeds[engine].Weight }
			r.advance(3 * time.Second)
			for range 20 {
				r.advance(70 * time.Millisecond)
				for _, h := range r.hosts {
					must.Eq(t, 100*(gateways-1), weight(h.Peer), must.Sprint(h.Peer))
				}
			}
			lost := 0
			r.dropped = func(string, string) bool { lost++; return lost%11 == 0 }
			for range 20 {
				r.advance(70 * time.Millisecond)
				must.GreaterEq(t, 50*(gateways-1), weight(r.hosts[0].Peer))
			}
			r.dropped = func(string, string) bool { return false }
			r.down[r.hosts[1].Peer] = true
			r.advance(6 * time.Second)
			must.Eq(t, 100*(gateways-2), weight(r.hosts[0].Peer))
		})
	}
}

// BenchmarkSpeedBytes measures what evidence of engines' speeds adds to the traffic of the
// busiest and the average gateway, in bytes a second. There are as many engines as gateways,
// and each gateway reports evidence of 16.
func BenchmarkSpeedBytes(b *testing.B) {
	for _, n := range []int{8, 60, 300, 985} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			measure := func(speeds int) (highest, mean float64) {
				r := newTestRegion(n)
				r.speeds = speeds
				r.advance(500 * time.Millisecond)
				clear(r.bytes)
				r.advance(time.Second)
				sum := 0
				for _, bytes := range r.bytes {
					highest = max(highest, float64(bytes))
					sum += bytes
				}
				return highest, float64(sum) / float64(n)
			}
			for b.Loop() {
				highest, mean := measure(16)
				highestBefore, meanBefore := measure(0)
				b.ReportMetric(highest-highestBefore, "bytes/s-busiest")
				b.ReportMetric(mean-meanBefore, "bytes/s-mean")
			}
		})
	}
}

// TestLeadersLeaveTheirLinksToCallers guards against leaders whose links are full of reports
// when callers need them: with 30 gateways of 10 Mbit/s, reports take a sixth of a link at most.
func TestLeadersLeaveTheirLinksToCallers(t *testing.T) {
	const linkBytesPerSecond = 10e6 / 8
	r := newTestRegion(30)
	r.extraEngines = 8
	r.advance(time.Second)
	clear(r.bytes)
	r.advance(time.Second)
	for gateway, bytes := range r.bytes {
		must.LessEq(t, linkBytesPerSecond/6, float64(bytes), must.Sprint(gateway))
	}
}
