// Package loopback allocates a separate loopback network to each deployment under test.
//
// Packages tested in parallel, and several checkouts on one machine, run deployments at
// the same time. With fixed addresses, a deployment would fail to bind an address that is
// in use or would connect to a process of another deployment.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/juju/errors"
)

const (
	// firstOctet and octetCount define the range of the second octet of the addresses.
	firstOctet, octetCount = 32, 192
	// claimHost and claimPort form the address in each network whose listener marks the
	// network as claimed.
	claimHost, claimPort = 254, 17
	// maxAttempts limits how many random networks one call of Claim tries.
	maxAttempts = 1000
)

// ErrNoFreeNetwork is returned by Claim if every network that it tried is claimed already.
var ErrNoFreeNetwork = errors.New("no loopback network is free")

// Network is a /24 loopback network that no other process on the machine has claimed.
// Create one with Claim.
type Network struct {
	prefix   string
	listener net.Listener
}

// Claim reserves a network until Close is called or the process ends. It returns
// ErrNoFreeNetwork if it finds no free network.
func Claim() (*Network, error) {
	for range maxAttempts {
		prefix := fmt.Sprintf("127.%d.%d.", firstOctet+rand.IntN(octetCount), rand.IntN(256))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, claimHost, claimPort))
		if err == nil {
			return &Network{prefix, listener}, nil
		}
	}
	return nil, ErrNoFreeNetwork
}

// IP returns the address of a host of the network; host is from 1 to 253.
func (n *Network) IP(host int) string { return fmt.Sprint(n.prefix, host) }

// Close releases the network.
func (n *Network) Close() error { return errors.Trace(n.listener.Close()) }
