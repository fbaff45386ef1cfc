package loopback_test

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/linenscale/linenscale/internal/loopback"
)

// TestNetworksDiffer guards against two deployments under test that are given the same
// addresses.
func TestNetworksDiffer(t *testing.T) {
	seen := make(map[string]bool)
	for range 100 {
		network, err := loopback.Claim()
		must.NoError(t, err)
		defer network.Close()
		must.False(t, seen[network.IP(1)])
		seen[network.IP(1)] = true
		must.True(t, net.ParseIP(network.IP(253)).IsLoopback())
	}
}
