package streams_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/streams"
)

// mesh is the gateways of some regions, in memory.
type mesh struct {
	hosts       []roster.Host
	directories map[string]*streams.Directory // by address
	lost        map[string]bool               // addresses of gateways that neither send nor receive
	dropShare   float64                       // of the messages, at random
	random      *rand.Rand
	sent        int // messages
	sentBytes   int
	toRegion    map[string]int // records, by region of the receiver
}

// newMesh returns so many gateways in each of the regions.
func newMesh(regions []string, each int) *mesh {
	m := &mesh{directories: make(map[string]*streams.Directory), lost: make(map[string]bool), toRegion: make(map[string]int), random: rand.New(rand.NewPCG(1, 2))}
	regionOf := make(map[string]string)
	for _, region := range regions {
		for i := range each {
			name := fmt.Sprintf("%s-%d", region, i)
			m.hosts = append(m.hosts, roster.Host{Name: name, Role: roster.RoleGateway, Region: region, Peer: name})
			regionOf[name] = region
		}
	}
	for _, h := range m.hosts {
		m.directories[h.Peer] = streams.New(streams.Deps{
			Self: h, Hosts: func() []roster.Host { return m.hosts }, Clock: time.Now, Log: zap.NewNop(),
			Send: func(message streams.Message, addresses []string) error {
				data, err := cbor.Marshal(message)
				for _, address := range addresses {
					m.sent, m.sentBytes = m.sent+1, m.sentBytes+len(data)
					m.toRegion[regionOf[address]] += len(message.Records)
					if !m.lost[h.Peer] && !m.lost[address] && m.random.Float64() >= m.dropShare {
						m.directories[address].Receive(message)
					}
				}
				return err
			},
		})
	}
	return m
}

func key(i int) streams.Key { return streams.ByRequest(fmt.Sprint("s", i)) }

func anywhere(string) bool { return true }

// find returns the origin's version according to a gateway; "" if it isn't known.
func (m *mesh) find(gateway string, stream streams.Key) string {
	finding := m.directories[gateway].Find(context.Background(), stream, anywhere)
	if f, ok := finding.(streams.Found); ok {
		return f.Origin.Version
	}
	return ""
}

var v1 = streams.Origin{Service: "review", Version: "v1"}

// TestEveryGatewayFindsAStream guards against a gateway that asks others than those that keep
// the record.
func TestEveryGatewayFindsAStream(t *testing.T) {
	for _, each := range []int{1, 3, 20, 100} {
		m := newMesh([]string{"lagos", "kano", "abuja"}, each)
		for i := range 30 {
			stream := key(i)
			m.directories[m.hosts[i%len(m.hosts)].Peer].Begin(stream, v1, time.Second, anywhere)
			for range 10 {
				at := m.hosts[m.random.IntN(len(m.hosts))].Peer
				must.Eq(t, "v1", m.find(at, stream), must.Sprint(each, stream, at))
			}
		}
	}
}

// TestStreamIsFoundAfterLosses guards against records that are lost with the gateway that began
// the stream, with one more gateway of its region, or with the whole region.
func TestStreamIsFoundAfterLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for i := range 60 {
			m := newMesh([]string{"lagos", "kano", "abuja"}, 3)
			m.directories["lagos-0"].Begin("s", v1, time.Second, anywhere)
			m.lost["lagos-0"] = true
			survivors := []string{"lagos-1", "lagos-2", "kano-0", "abuja-1"}
			if i%2 == 0 {
				m.lost["lagos-1"] = true
				survivors = []string{"lagos-2", "kano-2", "abuja-0"}
			}
			if i%3 == 0 {
				m.lost["lagos-1"], m.lost["lagos-2"] = true, true
				survivors = []string{"kano-1", "abuja-2"}
			}
			for _, at := range survivors {
				must.Eq(t, "v1", m.find(at, "s"), must.Sprint(i, at))
			}
		}
	})
}

// TestStreamsAreFoundAfterHalfOfAllGatewaysAreLost guards against a loss of many gateways after
// which most resumptions are rejected.
func TestStreamsAreFoundAfterHalfOfAllGatewaysAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 200
		found := 0
		m := newMesh([]string{"lagos", "kano", "abuja"}, 10)
		for i := range count {
			m.directories[m.hosts[i%len(m.hosts)].Peer].Begin(key(i), v1, 10*time.Second, anywhere)
		}
		for _, i := range m.random.Perm(len(m.hosts))[:len(m.hosts)/2] {
			m.lost[m.hosts[i].Peer] = true
		}
		for i := range count {
			at := m.random.IntN(len(m.hosts))
			for m.lost[m.hosts[at].Peer] {
				at = m.random.IntN(len(m.hosts))
			}
			if m.find(m.hosts[at].Peer, key(i)) == "v1" {
				found++
			}
		}
		must.Greater(t, count/2, found)
	})
}

// TestLostMessagesAreRepeated guards against a network that drops some datagrams.
func TestLostMessagesAreRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 200
		m := newMesh([]string{"lagos"}, 6)
		m.dropShare = 0.1
		found := 0
		for i := range count {
			stream := key(i)
			m.directories["lagos-0"].Begin(stream, v1, 10*time.Second, anywhere)
			if m.find(m.hosts[1+i%5].Peer, stream) == "v1" {
				found++
			}
		}
		must.Greater(t, count*9/10, found)
	})
}

// TestRecordsStayInPermittedRegions guards against a record of a request that is bound to some
// regions and leaves them.
func TestRecordsStayInPermittedRegions(t *testing.T) {
	m := newMesh([]string{"lagos", "kano", "abuja"}, 3)
	home := func(region string) bool { return region == "kano" }
	m.directories["lagos-0"].Begin("s", v1, time.Second, home)
	must.MapEq(t, map[string]int{"kano": 1}, m.toRegion)
	must.Zero(t, m.directories["lagos-0"].Len())
	finding := m.directories["lagos-1"].Find(context.Background(), "s", home)
	must.Eq[streams.Finding](t, streams.Found{Origin: v1}, finding)
}

// TestUnknownStreamIsNotFoundAtOnce guards against a search that waits for its timeout although
// all that could know have answered, and against one that takes silence for an answer.
func TestUnknownStreamIsNotFoundAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh([]string{"lagos", "kano"}, 4)
		started := time.Now()
		must.Eq[streams.Finding](t, streams.NotFound{}, m.directories["lagos-0"].Find(context.Background(), "s", anywhere))
		must.Zero(t, time.Since(started))
		m.lost["kano-0"], m.lost["kano-1"], m.lost["kano-2"], m.lost["kano-3"] = true, true, true, true
		must.Eq[streams.Finding](t, streams.Unanswered{}, m.directories["lagos-0"].Find(context.Background(), "s", anywhere))
		must.Less(t, 300*time.Millisecond, time.Since(started))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		must.Eq[streams.Finding](t, streams.Unanswered{}, m.directories["lagos-0"].Find(ctx, "s", anywhere))
	})
}

// TestKeysOfRequestsAndContentsDiffer guards against a caller whose ID is read as a fingerprint.
func TestKeysOfRequestsAndContentsDiffer(t *testing.T) {
	m := newMesh([]string{"lagos"}, 1)
	m.directories["lagos-0"].Begin(streams.ByRequest("c1"), v1, time.Second, anywhere)
	m.directories["lagos-0"].Begin(streams.ByContent("r1"), v1, time.Second, anywhere)
	must.Eq(t, "", m.find("lagos-0", streams.ByContent("c1")))
	must.Eq(t, "", m.find("lagos-0", streams.ByRequest("r1")))
}

// TestContestedStreamIsNotFound guards against a version that is one of two under the same ID.
func TestContestedStreamIsNotFound(t *testing.T) {
	m := newMesh([]string{"lagos"}, 1)
	d := m.directories["lagos-0"]
	d.Begin("s", v1, time.Second, anywhere)
	d.Begin("s", streams.Origin{Service: "review", Version: "v2"}, time.Second, anywhere)
	d.Begin("s", v1, time.Second, anywhere)
	must.Eq[streams.Finding](t, streams.Contested{}, d.Find(context.Background(), "s", anywhere))
}

// TestContestedRecordEndsASearch guards against a gateway that takes the one record of several
// that it is told of.
func TestContestedRecordEndsASearch(t *testing.T) {
	m := newMesh([]string{"lagos"}, 3)
	for i, version := range []string{"v1", "v2"} {
		m.directories[fmt.Sprint("lagos-", i)].Begin("s", streams.Origin{Service: "review", Version: version}, time.Second, anywhere)
	}
	for _, h := range m.hosts {
		must.Eq[streams.Finding](t, streams.Contested{}, m.directories[h.Peer].Find(context.Background(), "s", anywhere), must.Sprint(h.Name))
	}
}

// TestRecordsExpire guards against records that are kept for ever, or dropped while the caller
// may still resume the stream.
func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh([]string{"lagos"}, 2)
		m.directories["lagos-0"].Begin("s", v1, 10*time.Second, anywhere)
		time.Sleep(10 * time.Second)
		for _, d := range m.directories {
			d.Expire()
		}
		must.Eq(t, "v1", m.find("lagos-1", "s"))
		time.Sleep(6 * time.Second)
		for _, d := range m.directories {
			d.Expire()
			must.Zero(t, d.Len())
		}
	})
}

// TestMalformedRecordsAreIgnored guards against memory that another process could fill.
func TestMalformedRecordsAreIgnored(t *testing.T) {
	m := newMesh([]string{"lagos"}, 1)
	long := string(make([]byte, 1000))
	m.directories["lagos-0"].Receive(streams.Message{Records: []streams.Record{
		{}, {Stream: "a", Service: "s"}, {Stream: "a", KeepForMS: 1000}, {Stream: streams.Key(long), Service: "s", KeepForMS: 1000}, {Stream: "a", Service: "s", Version: long, KeepForMS: 1000}, {Stream: "a", Service: "s", KeepForMS: -1},
	}})
	must.Zero(t, m.directories["lagos-0"].Len())
}

// TestStoppingGatewayHandsItsRecordsOff guards against records that are lost when gateways are
// stopped one after the other.
func TestStoppingGatewayHandsItsRecordsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh([]string{"lagos"}, 6)
		for i := range 40 {
			m.directories["lagos-0"].Begin(key(i), v1, time.Minute, anywhere)
		}
		for stopped := range 5 {
			address := fmt.Sprint("lagos-", stopped)
			m.hosts[stopped].Stopping = true
			m.directories[address].HandOff()
			m.lost[address] = true
		}
		for i := range 40 {
			must.Eq(t, "v1", m.find("lagos-5", key(i)))
		}
	})
}

// TestCostOfAStreamDoesNotGrowWithTheGateways guards against messages that grow with the fleet.
func TestCostOfAStreamDoesNotGrowWithTheGateways(t *testing.T) {
	for _, each := range []int{3, 20, 100, 328} {
		m := newMesh([]string{"lagos", "kano", "abuja"}, each)
		m.directories["lagos-0"].Begin(streams.ByRequest("9c41d07be2a35f68"), v1, 15*time.Second, anywhere)
		t.Logf("%d gateways: a stream costs %d messages of %d bytes", 3*each, m.sent, m.sentBytes/m.sent)
		must.LessEq(t, 4, m.sent)
		before := m.sent
		must.Eq(t, "v1", m.find("lagos-1", streams.ByRequest("9c41d07be2a35f68")))
		t.Logf("%d gateways: a search costs %d messages", 3*each, m.sent-before)
		must.LessEq(t, 16, m.sent-before)
	}
}

// BenchmarkStream measures what one stream costs the gateway that begins it, without the system
// calls: both records, for deployments of three regions.
func BenchmarkStream(b *testing.B) {
	for _, gateways := range []int{8, 60, 300, 985} {
		b.Run(fmt.Sprint(gateways), func(b *testing.B) {
			m := newMesh([]string{"lagos", "kano", "abuja"}, (gateways+2)/3)
			d := m.directories["lagos-0"]
			d.Deps.Send = func(message streams.Message, addresses []string) error {
				data, err := cbor.Marshal(message)
				m.sent, m.sentBytes = m.sent+len(addresses), m.sentBytes+len(addresses)*len(data)
				return err
			}
			b.ReportAllocs()
			streamsBegun := 0
			for b.Loop() {
				id := fmt.Sprintf("%016x", streamsBegun)
				d.Begin(streams.ByRequest(id), streams.Origin{Service: "huvo11a", Version: "v1.1"}, 5*time.Second, anywhere)
				d.Begin(streams.ByContent(id), streams.Origin{Service: "huvo11a", Version: "v1.1"}, 5*time.Second, anywhere)
				streamsBegun++
			}
			b.ReportMetric(float64(m.sent)/float64(streamsBegun), "messages/stream")
			b.ReportMetric(float64(m.sentBytes)/float64(m.sent), "bytes/message")
		})
	}
}

// BenchmarkRecord measures the memory of one record.
func BenchmarkRecord(b *testing.B) {
	m := newMesh([]string{"lagos"}, 1)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		m.directories["lagos-0"].Receive(streams.Message{Records: []streams.Record{{Stream: key(i), Service: "huvo11a", Version: "v1.1", KeepForMS: 10000}}})
		i++
	}
}
