package controller_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/controller"
	"github.com/linenscale/linenscale/disk"
	"github.com/linenscale/linenscale/follow"
	"github.com/linenscale/linenscale/internal/steady"
	"github.com/linenscale/linenscale/raft"
	"github.com/linenscale/linenscale/roster"
)

// talk is one host's standing questions to a control host, whose bytes are counted as
// net/rpc writes them.
type talk struct {
	self    roster.Host
	brief   bool
	known   follow.SyncReply
	told    bool
	buffer  bytes.Buffer
	encoder *gob.Encoder
	bytes   int
}

func newTalk(self roster.Host, brief bool) *talk {
	t := &talk{self: self, brief: brief}
	t.encoder = gob.NewEncoder(&t.buffer)
	return t
}

// ask asks once, without waiting.
func (t *talk) ask(s *controller.Service) error {
	args := follow.SyncArgs{
		Self: t.self, Life: t.known.Life, Engines: t.known.Number, Roster: t.known.Roster, Brief: t.brief, Index: math.MaxUint64, Sure: true,
	}
	if t.told {
		args.Self, args.Known = roster.Host{Name: t.self.Name, Life: t.self.Life}, true
	}
	var reply follow.SyncReply
	if err := s.Sync(args, &reply); err != nil {
		return err
	}
	t.told, t.known = true, reply
	for _, value := range []any{args, reply} {
		if err := t.encoder.Encode(value); err != nil {
			return err
		}
	}
	t.bytes += t.buffer.Len()
	t.buffer.Reset()
	return nil
}

// scaled is a control host of a system of so many gateways in three regions, and ten times
// as many engines, of which it hears a sixth; near tells it to gateways of its data centre.
func scaled(t *testing.T, gateways int) (service *controller.Service, near, far []*talk) {
	t.Helper()
	c, err := controller.New(controller.Deps{
		Self: roster.Host{Name: "control", Role: roster.RoleControl, Region: "lagos", DataCentre: "a", Life: "life", Peer: "127.0.0.1:1"}, Replica: raft.ID("127.0.0.1:1#1"),
		Folder: disk.NewMemory(), Voters: 3, Regions: regions, Heartbeat: time.Minute, Told: time.Millisecond, Seeds: func() []string { return nil },
		Send: func(raft.Envelope) {}, Log: zap.NewNop(), Clock: time.Now, Steady: steady.Now, Seed: 1,
	})
	must.NoError(t, err)
	service = controller.NewService(context.Background(), c)
	for i := range gateways * 10 / 6 {
		e := beat(fmt.Sprintf("i-%08d", i), "a", 1)
		e.Address = fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)
		c.Beat(context.Background(), e)
	}
	for i := range gateways {
		centre := []string{"a", "b", "c"}[i%3]
		one := newTalk(roster.Host{
			Name: fmt.Sprintf("front-hall-%d", i), Role: roster.RoleGateway, Region: regions[centre], DataCentre: centre, Life: fmt.Sprintf("life-%08d", i),
			Peer: fmt.Sprintf("10.1.0.%d:7660", i), Callers: fmt.Sprintf("10.1.0.%d:8144", i), Handover: fmt.Sprintf("10.1.0.%d:7661", i),
		}, centre != "a")
		if one.brief {
			far = append(far, one)
		} else {
			near = append(near, one)
		}
	}
	for range 20 { // some ten seconds
		for _, one := range slices.Concat(near, far) {
			must.NoError(t, one.ask(service))
		}
	}
	return service, near, far
}

// TestWhatIsToldGrowsWithHostsAlone counts the bytes between a control host and gateways,
// with 30, 100 and 300 of these and ten times the engines: a gateway that asks briefly
// takes the same at any size, and one that is told of all takes no more than in
// proportion.
func TestWhatIsToldGrowsWithHostsAlone(t *testing.T) {
	most := func(talks []*talk) int {
		highest := 0
		for _, one := range talks {
			highest = max(highest, one.bytes)
		}
		return highest
	}
	far, near := map[int]int{}, map[int]int{}
	for _, n := range []int{30, 100, 300} {
		_, nearTalks, farTalks := scaled(t, n)
		near[n], far[n] = most(nearTalks), most(farTalks)
		t.Logf("%d gateways: %d bytes to one that is told of all, %d to one that asks briefly", n, near[n], far[n])
	}
	must.LessEq(t, far[30]*11/10, far[300])
	power := math.Log(float64(near[300])/float64(near[100])) / math.Log(3)
	must.LessEq(t, 1.1, power, must.Sprint("the power by which one gateway's bytes grow"))
}

// TestControlHostsAreToldOfEachOther asks as another control host does: it is told of
// control hosts, and of no gateway, each of which tells it of itself.
func TestControlHostsAreToldOfEachOther(t *testing.T) {
	service, _, _ := scaled(t, 30)
	for _, name := range []string{"other", "third"} {
		one := newTalk(roster.Host{Name: name, Role: roster.RoleControl, Region: "kano", DataCentre: "c", Life: name, Peer: "127.0.0.1:2"}, false)
		must.NoError(t, one.ask(service))
		for _, h := range one.known.Hosts {
			must.Eq(t, roster.RoleControl, h.Role, must.Sprint(h.Name))
		}
		must.True(t, slices.ContainsFunc(one.known.Hosts, func(h roster.Host) bool { return h.Name == "other" }))
	}
}
