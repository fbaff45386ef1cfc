package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/daemon"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/loopback"
	"github.com/linenscale/linenscale/operator"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/standin"
	"github.com/linenscale/linenscale/telemetry"
)

// association is a set of hosts that run in the test's process.
type association struct {
	t        *testing.T
	settings settings.Settings
	stop     map[string]func()
}

// claimNetwork reserves loopback addresses for one deployment: a port that is only free
// now may be in use before the host listens on it.
func claimNetwork(t *testing.T) *loopback.Network {
	t.Helper()
	network, err := loopback.Claim()
	must.NoError(t, err)
	t.Cleanup(func() { must.NoError(t, network.Close()) })
	return network
}

// newAssociation returns three hosts of one data centre, not started, with one engine
// at the address portal.
func newAssociation(t *testing.T, portal string) *association {
	t.Helper()
	dir := t.TempDir()
	text := "association: test\ndeclarations: declarations\ndata_root: " + filepath.Join(dir, "data") + "\nhosts:\n"
	network := claimNetwork(t)
	for i, name := range []string{"h1", "h2", "h3"} {
		ip := network.IP(i + 1)
		text += fmt.Sprintf("  - {name: %s, region: r, data_centre: d, callers: %q, handover: %q, control: %q, operators: %q, disk: true, voter: true}\n",
			name, ip+":7100", ip+":7200", ip+":7300", ip+":7400")
	}
	declarations := fmt.Sprintf("kind: Service\nname: portal\ntype: plain\n---\nkind: Engine\nname: p1\nservice: portal\ndata_centre: d\naddress: %s\nslots: 4\n---\nkind: Selector\nname: all\nservice: portal\nallow: region=r\n", portal)
	must.NoError(t, os.Mkdir(filepath.Join(dir, "declarations"), 0o700))
	must.NoError(t, os.WriteFile(filepath.Join(dir, "declarations", "all.yaml"), []byte(declarations), 0o600))
	must.NoError(t, os.WriteFile(filepath.Join(dir, "settings.yaml"), []byte(text), 0o600))
	s, err := settings.Read(filepath.Join(dir, "settings.yaml"))
	must.NoError(t, err)
	a := &association{t: t, settings: s, stop: map[string]func(){}}
	t.Cleanup(func() {
		for _, stop := range a.stop {
			stop()
		}
	})
	return a
}

func (a *association) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New().WithErrors()
	log, err := telemetry.NewLogger(io.Discard, "debug") // encodes each line, to find fields that can't be encoded
	must.NoError(a.t, err)
	group.Go(func() error { return daemon.Run(ctx, a.settings, name, log) })
	a.stop[name] = func() {
		cancel()
		must.NoError(a.t, group.Wait())
		delete(a.stop, name)
	}
}

// startAll starts the three hosts and waits until they are ready.
func (a *association) startAll() {
	names := []string{"h1", "h2", "h3"}
	for _, name := range names {
		a.start(name)
	}
	a.awaitReady(names...)
}

func (a *association) url(name string) string {
	h, err := a.settings.Host(name)
	must.NoError(a.t, err)
	return "http://" + h.Callers
}

func (a *association) awaitReady(names ...string) {
	for _, name := range names {
		ready := false
		for range 300 {
			if resp, err := http.Get(a.url(name) + "/readyz"); err == nil {
				resp.Body.Close()
				if ready = resp.StatusCode == http.StatusNoContent; ready {
					break
				}
			}
			time.Sleep(50 * time.Millisecond)
		}
		must.True(a.t, ready, must.Sprintf("%s is not ready", name))
	}
}

func (a *association) client() *operator.Client {
	var hosts []string
	for _, h := range a.settings.Hosts {
		hosts = append(hosts, h.Operators)
	}
	return operator.NewClient(hosts, 20*time.Second)
}

// order sends a request with an idempotency key until it is answered. Each other reply
// must say that the request was not run.
func (a *association) order(name, key string) (body string, replayed bool) {
	for range 100 {
		req, err := http.NewRequest(http.MethodPost, a.url(name)+"/services/portal/orders", strings.NewReader("two boards"))
		must.NoError(a.t, err)
		req.Header.Set(request.HeaderHome, "r")
		req.Header.Set(request.HeaderIdempotencyKey, key)
		req.Header.Set(standin.HeaderOrder, key)
		resp, err := http.DefaultClient.Do(req)
		must.NoError(a.t, err)
		data, err := io.ReadAll(resp.Body)
		must.NoError(a.t, err)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return string(data), resp.Header.Get("Idempotency-Replayed") == "true"
		}
		must.Eq(a.t, request.OutcomeValueNotRun, resp.Header.Get(request.HeaderOutcome))
		time.Sleep(100 * time.Millisecond)
	}
	a.t.Fatal("the order was not answered")
	return "", false
}

// TestAssociationServesThroughHostLossAndRestart changes the configuration, repeats an
// order on another host, stops one host and restarts all. No accepted change may be lost
// and the order may run only once.
func TestAssociationServesThroughHostLossAndRestart(t *testing.T) {
	portal := standin.NewPlain("p1", 0)
	server := httptest.NewServer(portal)
	defer server.Close()
	a := newAssociation(t, strings.TrimPrefix(server.URL, "http://"))
	a.startAll()
	ctx := context.Background()

	change := declare.Change{ID: "c1", Base: 1, Puts: []declare.Envelope{{Object: declare.Region{Name: "another"}}}}
	out, err := a.client().Change(ctx, change)
	must.NoError(t, err)
	must.Eq(t, control.StatusAccepted, out.Status)
	resent, err := a.client().Change(ctx, change)
	must.NoError(t, err)
	must.Eq(t, out, resent, must.Sprint("a resent change must get the outcome of the first"))

	first, replayed := a.order("h1", "k1")
	must.False(t, replayed)
	second, replayed := a.order("h2", "k1")
	must.True(t, replayed)
	must.Eq(t, first, second)

	a.stop["h1"]()
	third, replayed := a.order("h3", "k1")
	must.True(t, replayed)
	must.Eq(t, first, third)
	out, err = a.client().Change(ctx, declare.Change{ID: "c2", Base: 2, Puts: []declare.Envelope{{Object: declare.Region{Name: "third"}}}})
	must.NoError(t, err)
	must.Eq(t, control.StatusAccepted, out.Status)

	a.stop["h2"]()
	a.stop["h3"]()
	a.startAll()
	config, err := a.client().Config(ctx)
	must.NoError(t, err)
	must.Eq(t, 3, config.Revision(), must.Sprint("accepted changes must survive a restart of all hosts"))
	_, replayed = a.order("h2", "k1")
	must.True(t, replayed)
	must.Eq(t, 1, portal.Runs("k1"))
}

// TestVoterWithLostDiskIsReplacedAutomatically deletes a voter's data folder. The host
// must restart under a new identity, which replaces the old one among the voters.
func TestVoterWithLostDiskIsReplacedAutomatically(t *testing.T) {
	portal := standin.NewPlain("p1", 0)
	server := httptest.NewServer(portal)
	defer server.Close()
	a := newAssociation(t, strings.TrimPrefix(server.URL, "http://"))
	a.startAll()
	a.order("h1", "k1")
	a.stop["h1"]()
	must.NoError(t, os.RemoveAll(filepath.Join(a.settings.DataRoot, "h1")))
	a.start("h1")
	replaced := false
	for range 200 {
		status, err := a.client().Status(context.Background())
		if err == nil && len(status.Voters) == 3 && !slices.Contains(status.Voters, "h1#1") {
			replaced = true
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	must.True(t, replaced)
	_, replayed := a.order("h1", "k1")
	must.True(t, replayed)
	must.Eq(t, 1, portal.Runs("k1"))
}

// TestHostOfAnotherAssociationIsRejected starts a host of another association at the
// address of a stopped host. Without the check it joined, and served the configuration of
// the first association.
func TestHostOfAnotherAssociationIsRejected(t *testing.T) {
	portal := standin.NewPlain("p1", 0)
	server := httptest.NewServer(portal)
	defer server.Close()
	a := newAssociation(t, strings.TrimPrefix(server.URL, "http://"))
	a.startAll()
	a.stop["h3"]()

	other := newAssociation(t, "127.0.0.1:1")
	other.settings.Association = "other"
	copy(other.settings.Hosts, a.settings.Hosts[:2])
	other.start("h3")
	for range 60 {
		if resp, err := http.Get(other.url("h3") + "/readyz"); err == nil {
			resp.Body.Close()
			must.NotEq(t, http.StatusNoContent, resp.StatusCode)
		}
		time.Sleep(50 * time.Millisecond)
	}
	status, err := a.client().Status(context.Background())
	must.NoError(t, err)
	must.Eq(t, []string{"h1#1", "h2#1", "h3#1"}, slices.Sorted(slices.Values(status.Voters)))
}
