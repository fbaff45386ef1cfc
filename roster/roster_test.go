package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/roster"
)

// TestChangesAreReturnedOnce guards against readers that see a change repeatedly or never:
// each addition, change and removal appears in one call of ChangedSince, and a report that
// changes nothing appears in none.
func TestChangesAreReturnedOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	host := roster.Host{Name: "g1", Role: roster.RoleGateway, Life: "1"}
	must.True(t, r.Receive(host))
	must.False(t, r.Receive(host))
	hosts, removed, latest := r.ChangedSince(0)
	must.SliceLen(t, 1, hosts)
	must.SliceEmpty(t, removed)

	now = now.Add(time.Second)
	must.False(t, r.Receive(host))
	hosts, removed, latest = r.ChangedSince(latest)
	must.SliceEmpty(t, hosts, must.Sprint("a repeated report is no change"))
	must.SliceEmpty(t, removed)

	host.Stopping = true
	must.False(t, r.Receive(host))
	hosts, _, latest = r.ChangedSince(latest)
	must.SliceLen(t, 1, hosts)

	changed := r.Changed()
	now = now.Add(3 * time.Second)
	must.SliceLen(t, 1, r.Expire(2*time.Second))
	must.SliceEmpty(t, r.Expire(2*time.Second))
	select {
	case <-changed:
	default:
		t.Fatal("a change must close the channel")
	}
	must.SliceEmpty(t, r.Hosts(roster.RoleGateway))
	hosts, removed, _ = r.ChangedSince(latest)
	must.SliceEmpty(t, hosts)
	must.Eq(t, []string{"g1"}, removed)

	host.Life, host.Stopping = "2", false
	must.True(t, r.Receive(host))
	hosts, removed, _ = r.ChangedSince(latest)
	must.SliceLen(t, 1, hosts)
	must.SliceEmpty(t, removed)
}

// TestHostWithLongerTimeoutExpiresLater guards against removing a host whose reports are
// rare by design: of two hosts that stop sending reports, the one with the longer timeout
// expires later.
func TestHostWithLongerTimeoutExpiresLater(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	r.Receive(roster.Host{Name: "near", Role: roster.RoleGateway})
	r.ReceiveReport(roster.Report{Host: roster.Host{Name: "far", Role: roster.RoleGateway}, Timeout: 3 * time.Second})
	now = now.Add(2500 * time.Millisecond)
	expired := r.Expire(2 * time.Second)
	must.SliceLen(t, 1, expired)
	must.Eq(t, "near", expired[0].Name)
	must.SliceLen(t, 1, r.Hosts(roster.RoleGateway))
	now = now.Add(time.Second)
	must.SliceLen(t, 1, r.Expire(2*time.Second))
}

// gatewayNames returns the names of the gateways that a roster lists.
func gatewayNames(r *roster.Roster) []string {
	var out []string
	for _, h := range r.Hosts(roster.RoleGateway) {
		out = append(out, h.Name)
	}
	return out
}

// TestForwardedHostLivesAsLongAsItsHome guards against gateways that are removed although
// their home answers, or listed for good after its loss.
func TestForwardedHostLivesAsLongAsItsHome(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	g := roster.Host{Name: "g", Role: roster.RoleGateway, Life: "1"}
	r.ReceiveForwarded("home", []roster.Host{g}, nil)
	for range 20 {
		now = now.Add(time.Second)
		r.ReceiveForwarded("home", nil, nil)
		must.SliceEmpty(t, r.Expire(2*time.Second))
	}
	must.Eq(t, []string{"g"}, gatewayNames(r))
	now = now.Add(5 * time.Second)
	must.Len(t, 1, r.Expire(2*time.Second))
	must.SliceEmpty(t, gatewayNames(r))
	_, removed, _ := r.ChangedSince(1)
	must.Eq(t, []string{"g"}, removed)
}

// TestLastHeardCountsForwards checks that a host which reports elsewhere was heard when its home
// last answered, and one that is unknown never.
func TestLastHeardCountsForwards(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	must.True(t, r.LastHeard("g").IsZero())
	r.ReceiveForwarded("home", []roster.Host{{Name: "g", Role: roster.RoleGateway, Life: "1"}}, nil)
	must.Eq(t, now, r.LastHeard("g"))
	now = now.Add(time.Second)
	r.ReceiveForwarded("home", nil, nil)
	must.Eq(t, now, r.LastHeard("g"))
	now = now.Add(time.Second)
	r.Receive(roster.Host{Name: "g", Role: roster.RoleGateway, Life: "1"})
	must.Eq(t, now, r.LastHeard("g"))
}

// TestExpiredForwardsAreReported guards against a control host that goes on with changes only
// after what they change has been dropped.
func TestExpiredForwardsAreReported(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	g := roster.Host{Name: "g", Role: roster.RoleGateway, Life: "1"}
	must.False(t, r.ReceiveForwarded("home", []roster.Host{g}, nil))
	must.True(t, r.ReceiveForwarded("home", nil, nil))
	now = now.Add(5 * time.Second)
	must.True(t, r.ReceiveForwarded("home", nil, nil), must.Sprint("nothing was dropped yet"))
	now = now.Add(5 * time.Second)
	r.Expire(2 * time.Second)
	must.False(t, r.ReceiveForwarded("home", nil, nil))
	must.True(t, r.ReceiveForwarded("home", []roster.Host{g}, nil))
	must.Eq(t, []string{"g"}, gatewayNames(r))
}

// TestLateWithdrawalKeepsTheNewHome guards against a gateway that disappears when it moves
// to another home, whose forward arrives before the former one's withdrawal.
func TestLateWithdrawalKeepsTheNewHome(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	g := roster.Host{Name: "g", Role: roster.RoleGateway, Life: "1"}
	r.ReceiveForwarded("second", []roster.Host{g}, nil)
	r.ReceiveForwarded("first", []roster.Host{g}, nil)
	r.ReceiveForwarded("first", nil, []string{"g"})
	for range 5 {
		now = now.Add(time.Second)
		r.ReceiveForwarded("second", nil, nil)
		r.Expire(2 * time.Second)
	}
	must.Eq(t, []string{"g"}, gatewayNames(r))
}

// TestHomeForwardsItsGatewaysOnly guards against control hosts that forward what was
// forwarded to them, and against gateways that are not withdrawn when they leave a home.
func TestHomeForwardsItsGatewaysOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	r.ReceiveForwarded("other", []roster.Host{{Name: "forwarded", Role: roster.RoleGateway}}, nil)
	r.Receive(roster.Host{Name: "control", Role: roster.RoleControl})
	r.Receive(roster.Host{Name: "elsewhere", Role: roster.RoleGateway})
	r.ReceiveReport(roster.Report{Host: roster.Host{Name: "own", Role: roster.RoleGateway}, Homed: true})
	page := r.HomedPage(0, 100)
	must.SliceEmpty(t, page.Removed)
	must.Len(t, 2, page.Hosts)
	must.Eq(t, []string{"control", "own"}, []string{page.Hosts[0].Name, page.Hosts[1].Name})
	r.ReceiveReport(roster.Report{Host: roster.Host{Name: "own", Role: roster.RoleGateway}})
	page = r.HomedPage(page.Latest, 100)
	must.Eq(t, []string{"own"}, page.Removed, must.Sprint("it has another home now"))
	r.ReceiveReport(roster.Report{Host: roster.Host{Name: "own", Role: roster.RoleGateway}, Homed: true})
	now = now.Add(time.Minute)
	r.Expire(2 * time.Second)
	must.SliceContains(t, r.HomedPage(page.Latest, 100).Removed, "own")
}

// TestOwnReportsPrecedeForwards guards against an old state of a host that is forwarded after
// the host itself has reported a newer one.
func TestOwnReportsPrecedeForwards(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	g := roster.Host{Name: "g", Role: roster.RoleGateway, Life: "1"}
	stopping := g
	stopping.Stopping = true
	r.Receive(stopping)
	r.ReceiveForwarded("home", []roster.Host{g}, nil)
	must.True(t, r.Hosts(roster.RoleGateway)[0].Stopping)
}

// TestPagesContainEveryChange guards against hosts that a reader of pages misses, or gets
// again without end.
func TestPagesContainEveryChange(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	for i := range 100 {
		r.Receive(roster.Host{Name: fmt.Sprint("g-", i), Role: roster.RoleGateway})
	}
	seen := make(map[string]bool)
	pages, more := 0, true
	for cursor := uint64(0); more; pages++ {
		page := r.Page(cursor, 30)
		for _, h := range page.Hosts {
			must.False(t, seen[h.Name])
			seen[h.Name] = true
		}
		cursor, more = page.Latest, page.More
	}
	must.Eq(t, 4, pages)
	must.MapLen(t, 100, seen)
}
