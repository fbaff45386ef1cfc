// Package loopback gives deployments under test loopback networks of their own.
//
// Deployments that run on one machine at the same time, in packages tested in
// parallel or in several checkouts, must not meet: a fixed address is either
// taken already, or belongs to a process of another deployment.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"

	"github.com/juju/errors"
)

const (
	// firstNet and nets are the range of the second part of the addresses.
	firstNet, nets = 32, 192
	// claimHost and claimPort are listened on in each claimed network.
	claimHost, claimPort = 254, 17
	// tries bounds the networks that are tried by one claim.
	tries = 1000
)

// ErrTaken says that no network was found that nobody has claimed.
var ErrTaken = errors.New("no loopback network is free")

// Network is a /24 network that no other process on the machine has claimed.
// Claim makes one.
type Network struct {
	prefix string
	claim  net.Listener
}

// Claim claims a network until Close, or until the process ends.
func Claim() (*Network, error) {
	for range tries {
		prefix := fmt.Sprintf("127.%d.%d.", firstNet+rand.IntN(nets), rand.IntN(256))
		claim, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, claimHost, claimPort))
		if err == nil {
			return &Network{prefix, claim}, nil
		}
	}
	return nil, ErrTaken
}

// IP gives the address of a host, from 1 to 253.
func (n *Network) IP(host int) string { return fmt.Sprint(n.prefix, host) }

// Close gives the network back.
func (n *Network) Close() error { return errors.Trace(n.claim.Close()) }
