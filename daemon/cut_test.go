package daemon_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sourcegraph/conc/pool"

	"github.com/linenscale/linenscale/control"
	"github.com/linenscale/linenscale/declare"
	"github.com/linenscale/linenscale/internal/width"
	"github.com/linenscale/linenscale/request"
	"github.com/linenscale/linenscale/settings"
	"github.com/linenscale/linenscale/standin"
)

// wideAreaOffset is the difference between the numbers of a host's wide-area address and
// its own address.
const wideAreaOffset = 100

// twoRegions returns three hosts in region a, the voters of the control log, and two in
// region b, with a network that can be partitioned between the regions. Each host has
// its own loopback addresses, by which the network identifies its region.
func twoRegions(t *testing.T, engines map[string]string) (*association, *standin.WAN) {
	t.Helper()
	dir := t.TempDir()
	text := "association: test\ndeclarations: declarations\ndata_root: " + filepath.Join(dir, "data") + "\nhosts:\n"
	network := claimNetwork(t)
	var links []standin.Link
	for _, h := range []struct {
		name, region string
		at           int
	}{{"a1", "a", 1}, {"a2", "a", 2}, {"a3", "a", 3}, {"b1", "b", 4}, {"b2", "b", 5}} {
		ip, wide := network.IP(h.at), network.IP(wideAreaOffset+h.at)
		text += fmt.Sprintf("  - {name: %s, region: %s, data_centre: d%s, callers: %q, handover: %q, control: %q, operators: %q, wide_area: %s, disk: %t, voter: %t}\n",
			h.name, h.region, h.region, ip+":7100", ip+":7200", ip+":7300", ip+":7400", wide, h.region == "a", h.region == "a")
		for _, port := range []string{":7200", ":7300"} {
			links = append(links, standin.Link{Listen: wide + port, Target: ip + port, Region: h.region})
		}
	}
	declarations := "kind: Service\nname: portal\ntype: plain\n---\nkind: Selector\nname: all\nservice: portal\nallow: region in (a, b)\n"
	for region, address := range engines {
		declarations += fmt.Sprintf("---\nkind: Engine\nname: p%s\nservice: portal\ndata_centre: d%s\naddress: %s\nslots: 4\n", region, region, address)
	}
	must.NoError(t, os.Mkdir(filepath.Join(dir, "declarations"), 0o700))
	must.NoError(t, os.WriteFile(filepath.Join(dir, "declarations", "all.yaml"), []byte(declarations), 0o600))
	must.NoError(t, os.WriteFile(filepath.Join(dir, "settings.yaml"), []byte(text), 0o600))
	s, err := settings.Read(filepath.Join(dir, "settings.yaml"))
	must.NoError(t, err)
	regions := map[string]string{}
	for _, h := range s.Hosts {
		ip, _, _ := net.SplitHostPort(h.Control)
		regions[ip] = h.Region
	}
	wan := standin.NewWAN(time.Millisecond, width.New(width.DefaultBitsPerSecond), links, func(ip string) string { return regions[ip] })
	ctx, cancel := context.WithCancel(context.Background())
	group := pool.New()
	group.Go(func() { _ = wan.Run(ctx) })
	a := &association{t: t, settings: s, stop: map[string]func(){}}
	t.Cleanup(func() {
		for _, stop := range a.stop {
			stop()
		}
		cancel()
		group.Wait()
	})
	return a, wan
}

// call sends one plain request with a home region through a host and returns its status.
func (a *association) call(host, home, order string) int {
	req, err := http.NewRequest(http.MethodPost, a.url(host)+"/services/portal/orders", strings.NewReader("x"))
	must.NoError(a.t, err)
	req.Header.Set(request.HeaderHome, home)
	req.Header.Set(standin.HeaderOrder, order)
	client := http.Client{Timeout: 10 * time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	must.NoError(a.t, err)
	resp.Body.Close()
	return resp.StatusCode
}

func selector(allow string) declare.Envelope {
	return declare.Envelope{Object: declare.Selector{Name: "all", Service: "portal", Allow: allow}}
}

// TestPartitionedRegionKeepsServingAndNoChangeBypassesIt partitions region b. Region b must
// serve its members for longer than any lease. A change that withdraws its permission
// must be rejected during the partition, and be effective on all hosts once accepted.
func TestPartitionedRegionKeepsServingAndNoChangeBypassesIt(t *testing.T) {
	portals := map[string]*standin.Plain{"a": standin.NewPlain("pa", 0), "b": standin.NewPlain("pb", 0)}
	addresses := map[string]string{}
	for region, portal := range portals {
		server := httptest.NewServer(portal)
		defer server.Close()
		addresses[region] = strings.TrimPrefix(server.URL, "http://")
	}
	a, wan := twoRegions(t, addresses)
	for _, h := range a.settings.Hosts {
		a.start(h.Name)
	}
	a.awaitReady("a1", "a2", "a3", "b1", "b2")
	must.Eq(t, http.StatusOK, a.call("b1", "b", "before"))
	ctx := context.Background()

	wan.SetPartitioned("b", true)
	for i := range 20 { // five seconds, longer than a lease
		time.Sleep(250 * time.Millisecond)
		must.Eq(t, http.StatusOK, a.call("b1", "b", fmt.Sprint("cut-", i)))
		must.Eq(t, http.StatusOK, a.call("b2", "b", fmt.Sprint("cut-", i)))
	}
	out, err := a.client().Change(ctx, declare.Change{ID: "only-a", Base: 1, Puts: []declare.Envelope{selector("region=a")}})
	must.NoError(t, err)
	must.Eq(t, control.StatusRefused, out.Status)
	must.Eq(t, []string{"db"}, out.DataCentres)
	must.Eq(t, http.StatusOK, a.call("b1", "b", "after the refusal"))
	out, err = a.client().Change(ctx, declare.Change{ID: "elsewhere", Base: 1, Puts: []declare.Envelope{{Object: declare.Engine{
		Name: "pa", Service: "portal", DataCentre: "da", Address: addresses["a"], Slots: 5,
	}}}})
	must.NoError(t, err)
	must.Eq(t, control.StatusAccepted, out.Status, must.Sprint("the change doesn't affect region b"))

	wan.SetPartitioned("b", false)
	var retried control.Outcome
	for i := range 30 { // until the leader receives reports from b again
		retried, err = a.client().Change(ctx, declare.Change{ID: fmt.Sprint("only-a-", i), Base: 2, Puts: []declare.Envelope{selector("region=a")}})
		must.NoError(t, err)
		if retried.Status == control.StatusAccepted {
			break
		}
	}
	must.Eq(t, control.StatusAccepted, retried.Status)
	ran := portals["b"].Runs("forbidden")
	for range 20 {
		for _, host := range []string{"b1", "b2"} {
			must.NotEq(t, http.StatusOK, a.call(host, "b", "forbidden"), must.Sprint("an accepted change must be effective at once"))
		}
	}
	must.Eq(t, 0, ran+portals["b"].Runs("forbidden"))
}
