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

// entry is one entry host with a fixed configuration of its own.
type entry struct {
	host     settings.Host
	config   declare.Config
	guard    permit.Guard
	noLease  atomic.Bool
	fleet    *fleet.Fleet
	server   *gateway.Server
	callers  string // URL
	handover string
	entries  []declare.Host
	regions  []route.Digest
	reads    atomic.Int64 // bytes read from callers
	arrived  atomic.Int64 // hand-overs that came in
	keys     *tableKeys
}

var (
	_ gateway.Authority = (*entry)(nil)
	_ gateway.Peers     = (*entry)(nil)
)

func (e *entry) Serving() (permit.Guard, declare.Config, error) {
	if e.noLease.Load() {
		return permit.Guard{}, declare.Config{}, &request.NotRun{Reason: request.ReasonNoLease, Message: "no lease"}
	}
	return e.guard, e.config, nil
}

func (e *entry) Entries() []declare.Host { return e.entries }

func (e *entry) Regions(string) []route.Digest {
	own := route.Digest{Region: e.host.Region, Slots: 8, At: time.Now()}
	return append([]route.Digest{own}, e.regions...)
}

// tableKeys is a home of keys without replication.
type tableKeys struct {
	mu    sync.Mutex
	table *once.Table
	down  atomic.Bool
}

func (k *tableKeys) do(call once.Call, c once.Command) (once.Verdict, error) {
	if k.down.Load() {
		return nil, &request.NotRun{Reason: request.ReasonNoHome, Message: "the home can't be reached"}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	c.Key, c.Digest, c.Attempt, c.At, c.Until = call.Key, call.Digest, call.Attempt, time.Now(), call.Until
	return k.table.Apply(c), nil
}

func (k *tableKeys) Begin(_ context.Context, call once.Call) (once.Verdict, error) {
	return k.do(call, once.Command{Op: once.OpBegin})
}

func (k *tableKeys) Finish(_ context.Context, call once.Call, answer once.Answer) error {
	_, err := k.do(call, once.Command{Op: once.OpFinish, Answer: &answer})
	return err
}

func (k *tableKeys) Release(_ context.Context, call once.Call) error {
	_, err := k.do(call, once.Command{Op: once.OpRelease})
	return err
}

func (k *tableKeys) Lose(_ context.Context, call once.Call) error {
	_, err := k.do(call, once.Command{Op: once.OpLose})
	return err
}

// countingListener counts the bytes that the server reads.
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

// serve serves a handler on loopback and gives its address.
func serve(t *testing.T, handler http.Handler) string {
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

// objects gives a configuration of regions a and b with engines in both; allow
// is the selector of both services.
func objects(allow string, engines ...declare.Engine) []declare.Object {
	all := []declare.Object{
		declare.Region{Name: "a"},
		declare.Region{Name: "b"},
		declare.DataCentre{Name: "da", Region: "a"},
		declare.DataCentre{Name: "db", Region: "b"},
		declare.Service{Name: modelService, Type: declare.ServiceModel, Models: []string{modelName}, Policy: declare.Policy{FirstToken: time.Second}},
		declare.Service{Name: plainService, Type: declare.ServicePlain},
		declare.Selector{Name: "s1", Service: modelService, Allow: allow},
		declare.Selector{Name: "s2", Service: plainService, Allow: allow},
	}
	for _, e := range engines {
		all = append(all, e)
	}
	return all
}

func engineAt(name, service, dc, address string) declare.Engine {
	return declare.Engine{Name: name, Service: service, DataCentre: dc, Address: address, Slots: 8}
}

// newEntry starts an entry host of region a or b.
func newEntry(t *testing.T, region string, all []declare.Object) *entry {
	t.Helper()
	e := &entry{host: settings.Host{Name: "host-" + region, Region: region, DataCentre: "d" + region}, keys: &tableKeys{table: once.NewTable(100)}}
	change := declare.Change{}
	for _, o := range all {
		change.Puts = append(change.Puts, declare.Envelope{Object: o})
	}
	var err error
	e.config, err = declare.Config{}.With(change)
	must.NoError(t, err)
	rules, err := permit.New(e.config)
	must.NoError(t, err)
	e.guard = permit.Guard{Current: rules}
	e.fleet = fleet.New("host-"+region, region, time.Now, route.PrefixBounded{}, 1)
	e.fleet.Apply(e.config, nil)
	metrics, err := telemetry.NewMetrics()
	must.NoError(t, err)
	limits := settings.DefaultLimits
	limits.RequestTime = 20 * time.Second
	limits.SlowCallerTime = 500 * time.Millisecond
	client := relay.New(&net.Dialer{Timeout: time.Second}, relay.Options{AnswerTime: limits.RequestTime})
	t.Cleanup(client.Close)
	var random atomic.Uint64
	e.server = gateway.New(gateway.Deps{
		Host: e.host, Limits: limits, Authority: e, Peers: e, Keys: e.keys, Fleet: e.fleet, Engines: client, Away: client,
		Log: zap.NewNop(), Metrics: metrics, Random: func() uint64 { return random.Add(0x9e3779b97f4a7c15) },
	})
	e.listen(t)
	return e
}

func (e *entry) listen(t *testing.T) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := httptest.NewUnstartedServer(e.server.CallersHandler())
	server.Listener = countingListener{listener, &e.reads}
	server.Config.MaxHeaderBytes = settings.DefaultLimits.HeaderBytes
	server.Config.ErrorLog = zap.NewStdLog(zap.NewNop())
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	e.callers = server.URL
	inner := e.server.HandoverHandler()
	e.handover = serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.arrived.Add(1)
		inner.ServeHTTP(w, r)
	}))
}

// object gives the declaration of an entry host, as its peers know it.
func (e *entry) object() declare.Host {
	return declare.Host{Name: e.host.Name, DataCentre: e.host.DataCentre, Callers: strings.TrimPrefix(e.callers, "http://"), Handover: e.handover}
}

// answer is what a caller saw.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // in reading the body: the answer broke
}

// call sends one request; options are header names and values in turn.
func (e *entry) call(t *testing.T, method, path, body string, options ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, e.callers+path, strings.NewReader(body))
	must.NoError(t, err)
	req.Header.Set(request.HeaderHome, e.host.Region)
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
