package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/fleet"
	"github.com/linenscale/linenscale/gateway"
	"github.com/linenscale/linenscale/once"
	"github.com/linenscale/linenscale/permit"
	"github.com/linenscale/linenscale/relay"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/route"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/telemetry"
)

// testHost is an entry host with a fixed configuration.
type testHost struct {
	host            settings.Host
	config          declare.Config
	guard           permit.Guard
	noLease         atomic.Bool
	fleet           *fleet.Fleet
	server          *gateway.Server
	callersURL      string
	handoverAddress string
	peers           []declare.Host
	remoteDigests   []route.Digest
	callerBytes     atomic.Int64 // bytes read from callers
	handovers       atomic.Int64 // requests that other hosts handed over to this one
	keys            *fakeIdempotencyStore
}

var (
	_ gateway.Authority = (*testHost)(nil)
	_ gateway.Peers     = (*testHost)(nil)
)

func (h *testHost) Serving() (permit.Guard, declare.Config, error) {
	if h.noLease.Load() {
		return permit.Guard{}, declare.Config{}, &request.NotRun{Reason: request.ReasonNoLease, Message: "no lease"}
	}
	return h.guard, h.config, nil
}

func (h *testHost) EntryHosts() []declare.Host { return h.peers }

func (h *testHost) RegionDigests(string) []route.Digest {
	own := route.Digest{Region: h.host.Region, Slots: 8, At: time.Now()}
	return append([]route.Digest{own}, h.remoteDigests...)
}

// fakeIdempotencyStore is an IdempotencyStore in memory.
type fakeIdempotencyStore struct {
	mu          sync.Mutex
	table       *once.Table
	unavailable atomic.Bool
}

func (k *fakeIdempotencyStore) apply(call once.Call, command once.Command) (once.Verdict, error) {
	if k.unavailable.Load() {
		return nil, &request.NotRun{Reason: request.ReasonNoHome, Message: "the home can't be reached"}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	command.Key, command.Digest, command.Attempt, command.At, command.Until = call.Key, call.Digest, call.Attempt, time.Now(), call.Until
	return k.table.Apply(command), nil
}

func (k *fakeIdempotencyStore) Begin(_ context.Context, call once.Call) (once.Verdict, error) {
	return k.apply(call, once.Command{Op: once.OpBegin})
}

func (k *fakeIdempotencyStore) Finish(_ context.Context, call once.Call, answer once.Answer) error {
	_, err := k.apply(call, once.Command{Op: once.OpFinish, Answer: &answer})
	return err
}

func (k *fakeIdempotencyStore) Release(_ context.Context, call once.Call) error {
	_, err := k.apply(call, once.Command{Op: once.OpRelease})
	return err
}

func (k *fakeIdempotencyStore) MarkUnknown(_ context.Context, call once.Call) error {
	_, err := k.apply(call, once.Command{Op: once.OpMarkUnknown})
	return err
}

// countingListener counts the bytes that the server reads from its connections.
type countingListener struct {
	net.Listener
	count *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.count}, err
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// serveLoopback serves a handler on the loopback interface and returns its address.
func serveLoopback(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	server.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

const (
	modelService = "assistant"
	plainService = "portal"
	modelName    = "m1"
)

// declarations returns a configuration with the regions a and b and the given engines.
// Both services have the given selector.
func declarations(selector string, engines ...declare.Engine) []declare.Object {
	all := []declare.Object{
		declare.Region{Name: "a"},
		declare.Region{Name: "b"},
		declare.DataCentre{Name: "da", Region: "a"},
		declare.DataCentre{Name: "db", Region: "b"},
		declare.Service{Name: modelService, Type: declare.ServiceModel, Models: []string{modelName}, Policy: declare.Policy{FirstToken: time.Second}},
		declare.Service{Name: plainService, Type: declare.ServicePlain},
		declare.Selector{Name: "s1", Service: modelService, Allow: selector},
		declare.Selector{Name: "s2", Service: plainService, Allow: selector},
	}
	for _, e := range engines {
		all = append(all, e)
	}
	return all
}

func newEngine(name, service, dc, address string) declare.Engine {
	return declare.Engine{Name: name, Service: service, DataCentre: dc, Address: address, Slots: 8}
}

// newTestHost starts an entry host in region a or b.
func newTestHost(t *testing.T, region string, objects []declare.Object) *testHost {
	t.Helper()
	host := &testHost{host: settings.Host{Name: "host-" + region, Region: region, DataCentre: "d" + region}, keys: &fakeIdempotencyStore{table: once.NewTable(100)}}
	change := declare.Change{}
	for _, o := range objects {
		change.Puts = append(change.Puts, declare.Envelope{Object: o})
	}
	var err error
	host.config, err = declare.Config{}.Apply(change)
	must.NoError(t, err)
	rules, err := permit.Compile(host.config)
	must.NoError(t, err)
	host.guard = permit.Guard{Effective: rules}
	host.fleet = fleet.New("host-"+region, region, time.Now, nil, route.PrefixBounded{}, 1)
	host.fleet.ApplyConfig(host.config, nil)
	metrics, err := telemetry.NewMetrics()
	must.NoError(t, err)
	limits := settings.DefaultLimits
	limits.RequestTime = 20 * time.Second
	limits.SlowCallerTimeout = 500 * time.Millisecond
	client := relay.New(&net.Dialer{Timeout: time.Second}, relay.Options{AnswerTimeout: limits.RequestTime})
	t.Cleanup(client.Close)
	var random atomic.Uint64
	host.server = gateway.New(gateway.Deps{
		Host: host.host, Limits: limits, Authority: host, Peers: host, IdempotencyStore: host.keys, Fleet: host.fleet, EngineClient: client, HandoverClient: client,
		Log: zap.NewNop(), Metrics: metrics, Random: func() uint64 { return random.Add(0x9e3779b97f4a7c15) },
	})
	host.startListeners(t)
	return host
}

func (h *testHost) startListeners(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := httptest.NewUnstartedServer(h.server.CallersHandler())
	server.Listener = countingListener{listener, &h.callerBytes}
	server.Config.MaxHeaderBytes = settings.DefaultLimits.HeaderBytes
	server.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	h.callersURL = server.URL
	inner := h.server.HandoverHandler()
	h.handoverAddress = serveLoopback(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.handovers.Add(1)
		inner.ServeHTTP(w, r)
	}))
}

// declaration returns the declaration of the host in the configuration of its peers.
func (h *testHost) declaration() declare.Host {
	return declare.Host{Name: h.host.Name, DataCentre: h.host.DataCentre, Callers: strings.TrimPrefix(h.callersURL, "http://"), Handover: h.handoverAddress}
}

// answer is the answer that a caller received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // while reading the body, if the answer broke
}

// call sends one request. options are alternating header names and values.
func (h *testHost) call(t *testing.T, method, path, body string, options ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, h.callersURL+path, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set(request.HeaderHome, h.host.Region)
	for i := 0; i+1 < len(options); i += 2 {
		req.Header.Set(options[i], options[i+1])
	}
	client := http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Timeout:       30 * time.Second,
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}
