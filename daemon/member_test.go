package daemon_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"
	"go.uber.org/zap"

	"github.com/linenscale/linenscale/daemon"
	"github.com/linenscale/linenscale/internal/loopback"
	"github.com/linenscale/linenscale/platform/platformtest"
	"github.com/linenscale/linenscale/roster"
	"github.com/linenscale/linenscale/settings"
)

// dataCentres maps each data centre of the deployment under test to its region.
var dataCentres = map[string]string{"ikeja": "lagos", "wuse": "abuja", "nassarawa": "kano"}

// deployment is a small system that runs in the test's process: a control host and a
// gateway in each data centre.
type deployment struct {
	t       *testing.T
	network *loopback.Network
	dir     string
	seeds   []string
	hosts   map[string]*runningHost

	caller   platformtest.Caller
	operator platformtest.Operator
	version  int64
}

type runningHost struct {
	settings settings.Member
	cancel   context.CancelFunc
	group    *pool.ErrorPool
}

// ip returns the IP address of the control host or gateway of the data centre with that
// number.
func (d *deployment) ip(centre int, role roster.Role) string {
	if role == roster.RoleControl {
		return d.network.IP(1 + 2*centre)
	}
	return d.network.IP(2 + 2*centre)
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{t: t, network: claimNetwork(t), dir: t.TempDir(), hosts: make(map[string]*runningHost)}
	centres := []string{"ikeja", "wuse", "nassarawa"}
	for i := range centres {
		d.seeds = append(d.seeds, d.ip(i, roster.RoleControl)+":8146")
	}
	for i, centre := range centres {
		d.start(d.member(fmt.Sprintf("core-%s", centre), centre, d.ip(i, roster.RoleControl), roster.RoleControl), true)
		d.start(d.member(fmt.Sprintf("front-%s", centre), centre, d.ip(i, roster.RoleGateway), roster.RoleGateway), true)
	}
	t.Cleanup(d.stopAll)
	return d
}

func (d *deployment) member(name, centre, ip string, role roster.Role) settings.Member {
	m := settings.Member{
		Name: name, Role: role, Region: dataCentres[centre], DataCentre: centre, IP: ip, Ports: []int{7660, 7675},
		Seeds: d.seeds, Regions: dataCentres, MaxVoterLosses: 1, Heartbeat: 200 * time.Millisecond, StopTime: 4 * time.Second,
		Listen: settings.ListenAddresses{Metrics: ip + ":9464"},
	}
	if role == roster.RoleControl {
		m.DataDir = filepath.Join(d.dir, name)
		m.Listen.Operators, m.Listen.Directory = ip+":8146", ip+":8143"
		return m
	}
	m.Listen.Callers, m.Listen.Ready = ip+":8144", ip+":8140"
	return m
}

func (d *deployment) start(m settings.Member, firstStart bool) {
	d.t.Helper()
	m.FirstStart = firstStart
	data, err := yaml.Marshal(m)
	must.NoError(d.t, err)
	path := filepath.Join(d.dir, m.Name+".yaml")
	must.NoError(d.t, os.WriteFile(path, data, 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	h := &runningHost{settings: m, cancel: cancel, group: pool.New().WithErrors()}
	h.group.Go(func() error { return daemon.RunMember(ctx, path, make(chan struct{}), zap.NewNop()) })
	d.hosts[m.Name] = h
}

// stop stops a host as SIGTERM does, and waits until it has stopped.
func (d *deployment) stop(name string) {
	d.t.Helper()
	h := d.hosts[name]
	delete(d.hosts, name)
	h.cancel()
	must.NoError(d.t, h.group.Wait())
}

func (d *deployment) stopAll() {
	for _, h := range d.hosts {
		h.cancel()
	}
	for _, h := range d.hosts {
		_ = h.group.Wait()
	}
}

// engine starts an engine, which registers with all control hosts until the test ends.
func (d *deployment) engine(service, centre string, cold time.Duration) *platformtest.Engine {
	d.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	e, err := platformtest.StartEngine(ctx, group, "127.0.0.1:0", platformtest.EngineOptions{Service: service, DataCentre: centre, Cold: cold})
	must.NoError(d.t, err)
	control := slices.Clone(d.seeds)
	group.Go(func() { e.Register(ctx, control) })
	d.t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return e
}

// declare sends a declaration with the routes to one of the control hosts until it is
// accepted.
func (d *deployment) declare(routes ...platformtest.Route) {
	d.t.Helper()
	d.version += 3
	body, err := json.Marshal(platformtest.Declaration{ConfigVersion: d.version, Routes: routes, Services: []platformtest.Service{
		{Name: "portal"}, {Name: "model", ColdPerS: 2, Engine: &platformtest.ModelEngine{Slots: 8, KvTokens: 100_000}},
	}})
	must.NoError(d.t, err)
	d.eventually("accepted", func() bool {
		status, err := d.operator.Put(context.Background(), d.seeds[int(d.version)%len(d.seeds)], body)
		return err == nil && status == http.StatusOK
	})
}

func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	for until := time.Now().Add(30 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("%s: not within 30 s", what)
}

// send sends one request through a data centre's gateway. A failed call returns the zero
// Result.
func (d *deployment) send(centre, path string, model bool) platformtest.Result {
	d.t.Helper()
	result, err := d.caller.Do(context.Background(), d.hosts["front-"+centre].settings.Listen.Callers, platformtest.Request{Host: "h", Path: path, IsPrompt: model})
	if err != nil {
		return platformtest.Result{}
	}
	return result
}

// awaitServed sends requests until a data centre's gateway serves the path.
func (d *deployment) awaitServed(centre, path string, model bool) platformtest.Result {
	d.t.Helper()
	var result platformtest.Result
	d.eventually("served", func() bool {
		result = d.send(centre, path, model)
		return result.Status == http.StatusOK && result.Complete
	})
	return result
}

// httpGet returns the body of the answer at a URL.
func httpGet(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	must.NoError(t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	must.NoError(t, err)
	return string(text)
}

var (
	portalRoute = platformtest.Route{Name: "p", Host: "h", PathPrefix: "/p/", Kind: "unsafe", TimeoutMs: 2000, TargetLatencyMs: 500, MaxAttempts: 1, Service: "portal"}
	modelRoute  = platformtest.Route{Name: "m", Host: "h", PathPrefix: "/m/", Kind: "streaming", TimeoutMs: 2000, TargetLatencyMs: 500, MaxAttempts: 2, Service: "model", Resumable: true}
	boundRoute  = platformtest.Route{Name: "b", Host: "h", PathPrefix: "/b/", Kind: "safe", TimeoutMs: 2000, TargetLatencyMs: 500, MaxAttempts: 2, Service: "portal", HomeRegions: []string{"abuja"}}
)

// TestDeploymentServesThroughOperations runs whole hosts that find each other by seeds.
// Requests must be served as expected while the configuration changes, a data centre is
// evacuated, engines announce limits and drain, and hosts stop and restart.
func TestDeploymentServesThroughOperations(t *testing.T) {
	d := newDeployment(t)
	early := d.send("ikeja", "/p/1", false)
	must.True(t, early.Status == 0 || early.GuaranteesNotRun(), must.Sprint("no declaration was accepted yet"))
	portal := map[string]*platformtest.Engine{}
	for centre := range dataCentres {
		portal[centre] = d.engine("portal", centre, 0)
		d.engine("model", centre, 0)
	}
	d.declare(portalRoute, modelRoute, boundRoute)
	for centre := range dataCentres {
		must.NotEq(t, "", d.awaitServed(centre, "/p/1", false).Engine)
		must.Eq(t, platformtest.EventText(1), d.awaitServed(centre, "/m/1", true).Body[:len(platformtest.EventText(1))])
		must.Eq(t, portal["wuse"].ID, d.awaitServed(centre, "/b/1", false).Engine, must.Sprint("the route's home region is abuja"))
	}
	must.Eq(t, http.StatusNotFound, d.send("ikeja", "/none/", false).Status)

	t.Log("a change becomes effective on all gateways, and all control hosts return it")
	d.declare(portalRoute, modelRoute)
	for centre := range dataCentres {
		d.eventually("the removed route answers 404", func() bool { return d.send(centre, "/b/1", false).Status == http.StatusNotFound })
	}
	for _, seed := range d.seeds {
		shown, status, err := d.operator.Read(context.Background(), seed)
		must.NoError(t, err)
		must.Eq(t, http.StatusOK, status)
		must.Eq(t, d.version, shown.ConfigVersion)
	}

	t.Log("requests of an evacuated data centre go to remote engines")
	d.eventually("evacuated", func() bool {
		status, err := d.operator.Evacuate(context.Background(), d.seeds[2], "ikeja", true)
		return err == nil && status == http.StatusOK
	})
	d.eventually("served by a remote engine", func() bool {
		result := d.send("ikeja", "/p/1", false)
		return result.Status == http.StatusOK && result.Engine != portal["ikeja"].ID
	})
	d.eventually("evacuation ended", func() bool {
		status, err := d.operator.Evacuate(context.Background(), d.seeds[1], "ikeja", false)
		return err == nil && status == http.StatusOK
	})
	d.eventually("served by the local engine", func() bool { return d.send("ikeja", "/p/1", false).Engine == portal["ikeja"].ID })

	t.Log("an engine that announces a rate limit gets less load and is listed, until it withdraws the limit")
	portal["ikeja"].SetLimit("1")
	d.eventually("spared", func() bool {
		result := d.send("ikeja", "/p/1", false)
		return result.Status == http.StatusOK && result.Engine != portal["ikeja"].ID
	})
	limits := "http://" + d.hosts["front-ikeja"].settings.Listen.Metrics + daemon.LimitsPath
	must.StrContains(t, httpGet(t, limits), portal["ikeja"].ID)
	portal["ikeja"].SetLimit("")
	d.eventually("lifted", func() bool {
		d.send("ikeja", "/p/1", false)
		return !strings.Contains(httpGet(t, limits), portal["ikeja"].ID)
	})

	t.Log("a draining engine gets no request once its drain is acknowledged")
	portal["ikeja"].SetDraining()
	d.eventually("acknowledged", func() bool { return !portal["ikeja"].DrainAckedAt().IsZero() })
	for range 10 {
		must.NotEq(t, portal["ikeja"].ID, d.send("ikeja", "/p/1", false).Engine)
	}

	t.Log("the directory returns the gateways to use")
	d.eventually("the local gateway is returned", func() bool {
		got, err := d.operator.Resolve(context.Background(), d.hosts["core-wuse"].settings.Listen.Directory, "h", "lagos", "ikeja")
		return err == nil && slices.Equal(got, []string{d.hosts["front-ikeja"].settings.Listen.Callers})
	})
	d.stop("front-ikeja")
	d.eventually("the remaining gateways are returned", func() bool {
		got, err := d.operator.Resolve(context.Background(), d.hosts["core-wuse"].settings.Listen.Directory, "h", "lagos", "ikeja")
		return err == nil && len(got) == 2
	})
	must.StrContains(t, httpGet(t, "http://"+d.hosts["front-wuse"].settings.Listen.Metrics), "linenscale_requests")

	t.Log("control hosts restart one after the other, one of them with an empty disk")
	for i, centre := range []string{"ikeja", "wuse", "nassarawa"} {
		name := "core-" + centre
		restarted := d.hosts[name].settings
		d.stop(name)
		if i == 1 {
			must.NoError(t, os.RemoveAll(restarted.DataDir))
		}
		d.start(restarted, false)
		d.declare(portalRoute, modelRoute)
		d.eventually("the restarted host returns the newest declaration", func() bool {
			shown, _, err := d.operator.Read(context.Background(), restarted.Listen.Operators)
			return err == nil && shown.ConfigVersion == d.version
		})
	}
	d.start(d.member("front-ikeja", "ikeja", d.ip(0, roster.RoleGateway), roster.RoleGateway), false)
	d.awaitServed("ikeja", "/p/1", false)
}

func TestInvalidMemberSettingsAreRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.yaml")
	must.NoError(t, os.WriteFile(path, []byte("name: x\nrole: cook\n"), 0o600))
	err := daemon.RunMember(context.Background(), path, make(chan struct{}), zap.NewNop())
	must.ErrorContains(t, err, `must be gateway or control, is "cook"`)
	must.True(t, strings.Contains(err.Error(), path))
}
