package probe_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/probe"
	"github.com/linenscale/linenscale/route"
)

var now = time.Unix(1_700_000_000, 0)

func setup(t *testing.T) (*probe.Prober, *fleet.Fleet) {
	t.Helper()
	change := declare.Change{Puts: []declare.Envelope{
		{Object: declare.Region{Name: "r"}},
		{Object: declare.DataCentre{Name: "d", Region: "r"}},
		{Object: declare.Service{Name: "s", Type: declare.ServiceModel}},
	}}
	for i, ip := range []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"} {
		e := declare.Engine{Name: string(rune('a' + i)), Service: "s", DataCentre: "d", Address: ip + ":80", Slots: 1}
		change.Puts = append(change.Puts, declare.Envelope{Object: e})
	}
	config, err := declare.Config{}.Apply(change)
	must.NoError(t, err)
	f := fleet.New("h", "r", func() time.Time { return now }, nil, route.Random{}, 1)
	f.ApplyConfig(config, nil)
	return probe.New(f, http.DefaultTransport, "", zap.NewNop()), f
}

func list(at time.Time, states ...string) probe.List {
	l := probe.List{At: at}
	for i, state := range states {
		if state != "" {
			l.Hosts = append(l.Hosts, probe.ListHost{IP: "127.0.1." + string(rune('1'+i)), State: state})
		}
	}
	return l
}

func health(t *testing.T, f *fleet.Fleet, engine string) route.Health {
	t.Helper()
	h, ok := f.Health(engine)
	must.True(t, ok)
	return h
}

// TestListedDrainingAppliesAtOnce guards against sending requests to an engine whose host
// the platform lists as leaving.
func TestListedDrainingAppliesAtOnce(t *testing.T) {
	p, f := setup(t)
	p.ApplyList(list(now, "live", "leaving", "live"), now)
	must.Eq(t, route.Draining, health(t, f, "b"))
	must.Eq(t, route.Healthy, health(t, f, "a"))
}

// TestEmptyOrStaleListIsIgnored guards against taking every engine for draining because the
// platform returns an empty list or one that it no longer updates.
func TestEmptyOrStaleListIsIgnored(t *testing.T) {
	p, f := setup(t)
	for i := range 20 {
		at := now.Add(time.Duration(i) * time.Second)
		p.ApplyList(probe.List{At: at}, at)
		p.ApplyList(list(now.Add(-time.Hour), "leaving", "leaving", "leaving"), at)
	}
	for _, e := range []string{"a", "b", "c"} {
		must.Eq(t, route.Healthy, health(t, f, e))
	}
}

// TestMissingHostDrainsAfterTimeout guards against taking an engine for draining because
// its host is missing from a single list, and against never doing so.
func TestMissingHostDrainsAfterTimeout(t *testing.T) {
	p, f := setup(t)
	p.ApplyList(list(now, "live", "", "live"), now)
	must.Eq(t, route.Healthy, health(t, f, "b"))
	later := now.Add(6 * time.Second)
	p.ApplyList(list(later, "live", "", "live"), later)
	must.Eq(t, route.Draining, health(t, f, "b"))
	p.ApplyList(list(later, "live", "live", "live"), later)
	must.Eq(t, route.Healthy, health(t, f, "b"))
}

// TestListWithoutMostEnginesIsIgnored guards against taking most engines for draining
// because of a list that lacks more than half of their hosts.
func TestListWithoutMostEnginesIsIgnored(t *testing.T) {
	p, f := setup(t)
	for i := range 20 {
		at := now.Add(time.Duration(i) * time.Second)
		p.ApplyList(list(at, "live", "", ""), at)
	}
	must.Eq(t, route.Healthy, health(t, f, "b"))
}

// endlessBody is the body of a response that never ends: one JSON string.
type endlessBody struct{ read *atomic.Int64 }

// Read implements io.Reader.
func (b endlessBody) Read(data []byte) (int, error) {
	for i := range data {
		data[i] = 'a'
	}
	if b.read.Add(int64(len(data))) == int64(len(data)) {
		data[0] = '"'
	}
	return len(data), nil
}

// endlessServer answers each request with an endlessBody, up to most bytes in all.
type endlessServer struct {
	read atomic.Int64
	most int64
	stop context.CancelFunc
}

// RoundTrip implements http.RoundTripper.
func (s *endlessServer) RoundTrip(r *http.Request) (*http.Response, error) {
	defer s.stop()
	body := io.NopCloser(io.LimitReader(endlessBody{&s.read}, s.most))
	return &http.Response{Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, StatusCode: http.StatusOK, Header: http.Header{}, Body: body, Request: r}, nil
}

// TestEndlessReportIsCutOff guards against a report of an engine that never ends, and is kept in
// memory for as long as it comes.
func TestEndlessReportIsCutOff(t *testing.T) {
	_, f := setup(t)
	ctx, cancel := context.WithCancel(context.Background())
	server := &endlessServer{most: 64 << 20, stop: cancel}
	must.NoError(t, probe.New(f, server, "", zap.NewNop()).Run(ctx))
	engines := int64(len(f.EngineAddresses()))
	must.Greater(t, 0, server.read.Load())
	must.LessEq(t, engines*(8<<20), server.read.Load())
}
