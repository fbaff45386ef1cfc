package controller_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"math"
	"math/rand/v2"
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

// session makes the Sync calls of one host to a control host, and counts their bytes as
// net/rpc encodes them.
type session struct {
	self       roster.Host
	brief      bool
	last       follow.SyncReply
	introduced bool // the control host has the whole of self, so name and incarnation are enough
	buffer     bytes.Buffer
	encoder    *gob.Encoder
	bytes      int
}

func newSession(self roster.Host, brief bool) *session {
	s := &session{self: self, brief: brief}
	s.encoder = gob.NewEncoder(&s.buffer)
	return s
}

// sync makes one call that doesn't wait.
func (s *session) sync(service *controller.Service) error {
	args := follow.SyncArgs{
		Self: s.self, Life: s.last.Life, Engines: s.last.Number, Roster: s.last.Roster, Brief: s.brief, Index: math.MaxUint64, Sure: true,
	}
	if s.introduced {
		args.Self, args.Known = roster.Host{Name: s.self.Name, Life: s.self.Life}, true
	}
	var reply follow.SyncReply
	if err := service.Sync(args, &reply); err != nil {
		return err
	}
	s.introduced, s.last = true, reply
	for _, value := range []any{args, reply} {
		if err := s.encoder.Encode(value); err != nil {
			return err
		}
	}
	s.bytes += s.buffer.Len()
	s.buffer.Reset()
	return nil
}

// newScaledSystem returns a control host in a system with the given number of gateways in
// three regions and ten times as many engines, a sixth of which send their heartbeats to it.
// full are the sessions of the gateways in its data centre, which are sent engines and
// hosts; brief are those of the others, which make brief calls.
func newScaledSystem(t *testing.T, gateways int) (service *controller.Service, full, brief []*session) {
	t.Helper()
	c, err := controller.New(controller.Deps{
		Self: roster.Host{Name: "control", Role: roster.RoleControl, Region: "lagos", DataCentre: "a", Life: "life", Peer: "127.0.0.1:1"}, Replica: raft.ID("127.0.0.1:1#1"),
		Folder: disk.NewMemory(), Voters: 3, Regions: regions, Heartbeat: time.Minute, DrainTimeout: time.Millisecond, Seeds: func() []string { return nil },
		Send: func(raft.Envelope) {}, Log: zap.NewNop(), Clock: time.Now, SteadyClock: steady.Now, Seed: 1, Random: rand.Float64,
	})
	must.NoError(t, err)
	service = controller.NewService(context.Background(), c)
	for i := range gateways * 10 / 6 {
		e := testEngine(fmt.Sprintf("i-%08d", i), "a", 1)
		e.Address = fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250)
		c.Heartbeat(context.Background(), e)
	}
	for i := range gateways {
		centre := []string{"a", "b", "c"}[i%3]
		gateway := newSession(roster.Host{
			Name: fmt.Sprintf("front-hall-%d", i), Role: roster.RoleGateway, Region: regions[centre], DataCentre: centre, Life: fmt.Sprintf("life-%08d", i),
			Peer: fmt.Sprintf("10.1.0.%d:7660", i), Callers: fmt.Sprintf("10.1.0.%d:8144", i), Handover: fmt.Sprintf("10.1.0.%d:7661", i),
		}, centre != "a")
		if gateway.brief {
			brief = append(brief, gateway)
		} else {
			full = append(full, gateway)
		}
	}
	for range 20 { // about ten seconds of calls
		for _, gateway := range slices.Concat(full, brief) {
			must.NoError(t, gateway.sync(service))
		}
	}
	return service, full, brief
}

// TestSyncTrafficGrowsLinearly guards against traffic that grows faster than the system,
// with 30, 100 and 300 gateways and ten times as many engines. A gateway that makes brief
// calls must use the same number of bytes at any size, one that makes full calls at most
// a proportional number.
func TestSyncTrafficGrowsLinearly(t *testing.T) {
	most := func(sessions []*session) int {
		highest := 0
		for _, s := range sessions {
			highest = max(highest, s.bytes)
		}
		return highest
	}
	briefBytes, fullBytes := map[int]int{}, map[int]int{}
	for _, n := range []int{30, 100, 300} {
		_, fullSessions, briefSessions := newScaledSystem(t, n)
		fullBytes[n], briefBytes[n] = most(fullSessions), most(briefSessions)
		t.Logf("%d gateways: %d bytes for one that makes full calls, %d for one that makes brief calls", n, fullBytes[n], briefBytes[n])
	}
	must.LessEq(t, briefBytes[30]*11/10, briefBytes[300])
	exponent := math.Log(float64(fullBytes[300])/float64(fullBytes[100])) / math.Log(3)
	must.LessEq(t, 1.1, exponent, must.Sprint("exponent of the growth of one gateway's bytes"))
}

// TestControlHostsReceiveOnlyControlHosts guards against control hosts that forward
// gateways to each other, although every gateway calls each of them itself.
func TestControlHostsReceiveOnlyControlHosts(t *testing.T) {
	service, _, _ := newScaledSystem(t, 30)
	for _, name := range []string{"other", "third"} {
		s := newSession(roster.Host{Name: name, Role: roster.RoleControl, Region: "kano", DataCentre: "c", Life: name, Peer: "127.0.0.1:2"}, false)
		must.NoError(t, s.sync(service))
		for _, h := range s.last.Hosts {
			must.Eq(t, roster.RoleControl, h.Role, must.Sprint(h.Name))
		}
		must.True(t, slices.ContainsFunc(s.last.Hosts, func(h roster.Host) bool { return h.Name == "other" }))
	}
}
