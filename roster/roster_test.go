package roster_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/roster"
)

func TestChangesAreToldOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	host := roster.Host{Name: "g1", Role: roster.RoleGateway, Life: "1"}
	must.True(t, r.Hear(host))
	must.False(t, r.Hear(host))
	hosts, gone, number := r.Since(0)
	must.SliceLen(t, 1, hosts)
	must.SliceEmpty(t, gone)

	now = now.Add(time.Second)
	must.False(t, r.Hear(host))
	hosts, gone, number = r.Since(number)
	must.SliceEmpty(t, hosts, must.Sprint("being heard again is no change"))
	must.SliceEmpty(t, gone)

	host.Stopping = true
	must.False(t, r.Hear(host))
	hosts, _, number = r.Since(number)
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
	hosts, gone, _ = r.Since(number)
	must.SliceEmpty(t, hosts)
	must.Eq(t, []string{"g1"}, gone)

	host.Life, host.Stopping = "2", false
	must.True(t, r.Hear(host))
	hosts, gone, _ = r.Since(number)
	must.SliceLen(t, 1, hosts)
	must.SliceEmpty(t, gone)
}

// TestAHostThatTellsSeldomIsKeptForLonger lets two hosts fall silent.
func TestAHostThatTellsSeldomIsKeptForLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(func() time.Time { return now })
	r.Hear(roster.Host{Name: "near", Role: roster.RoleGateway})
	r.HearFor(roster.Host{Name: "far", Role: roster.RoleGateway}, 3*time.Second)
	now = now.Add(2500 * time.Millisecond)
	gone := r.Expire(2 * time.Second)
	must.SliceLen(t, 1, gone)
	must.Eq(t, "near", gone[0].Name)
	must.SliceLen(t, 1, r.Hosts(roster.RoleGateway))
	now = now.Add(time.Second)
	must.SliceLen(t, 1, r.Expire(2*time.Second))
}
