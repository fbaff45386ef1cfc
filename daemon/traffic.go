// This file counts what a member exchanges with other hosts, by kind and distance.

package daemon

import (
	"context"
	"net"

	"github.com/linenscale/linenscale/telemetry"
	"github.com/linenscale/linenscale/wire"
)

// Kinds of traffic between hosts.
const (
	trafficPolls    = "polls"     // of control hosts, with hosts and engines
	trafficCommands = "commands"  // forwarded to other control hosts
	trafficLog      = "log"       // between the replicas of the ledger
	trafficHandover = "handovers" // of requests, and their answers
	trafficLoads    = "loads"     // reports among gateways
)

// Distances of the other host.
const (
	trafficRegion  = "own_region"
	trafficRemote  = "other_region"
	trafficUnknown = "unknown"
)

// distanceOf returns how far away the host with an address is, as far as known.
func (m *member) distanceOf(address string) string {
	if f := m.follower.Load(); f != nil {
		if region, ok := f.RegionOf(address); ok {
			if region == m.settings.Region {
				return trafficRegion
			}
			return trafficRemote
		}
	}
	return trafficUnknown
}

// counted returns a dialer whose connections count their bytes. Both directions are counted
// by the host that opens a connection.
func (m *member) counted(kind string, dialer wire.Dialer) wire.Dialer {
	return countingDialer{dialer, func(address string) *telemetry.Traffic { return m.metrics.Traffic(kind, m.distanceOf(address)) }}
}

type countingDialer struct {
	wire.Dialer
	trafficTo func(address string) *telemetry.Traffic
}

// DialContext implements wire.Dialer.
func (d countingDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, d.trafficTo(address)}, nil
}

// countingConn counts the bytes that it reads and writes.
type countingConn struct {
	net.Conn
	traffic *telemetry.Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.traffic.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.traffic.Add(n)
	return n, err
}
