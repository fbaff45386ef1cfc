package roster_test

import (
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
	r.ReceiveWithTimeout(roster.Host{Name: "far", Role: roster.RoleGateway}, 3*time.Second)
	now = now.Add(2500 * time.Millisecond)
	expired := r.Expire(2 * time.Second)
	must.SliceLen(t, 1, expired)
	must.Eq(t, "near", expired[0].Name)
	must.SliceLen(t, 1, r.Hosts(roster.RoleGateway))
	now = now.Add(time.Second)
	must.SliceLen(t, 1, r.Expire(2*time.Second))
}
