package wire

import (
	"bytes"
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// maxDatagramSize bounds a datagram, in bytes. It is below the largest UDP payload.
const maxDatagramSize = 60 << 10

// Datagrams sends and receives messages of one type over UDP. Because messages may be
// lost, each must be complete in itself and be superseded by the next one.
// ListenDatagrams creates one.
type Datagrams[T any] struct {
	conn    *net.UDPConn
	preface [prefaceSize]byte
	// OnSend is called with the size of each datagram that was sent; nil for no call. It
	// must be set before the first Send.
	OnSend func(address string, size int)
}

// ListenDatagrams opens a UDP socket at an address, to send to and receive from
// processes of the same deployment.
func ListenDatagrams[T any](address string, deployment Deployment) (*Datagrams[T], error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Datagrams[T]{conn: conn, preface: deployment.preface()}, nil
}

// Address returns the local address of the socket.
func (d *Datagrams[T]) Address() string { return d.conn.LocalAddr().String() }

// Send sends one message to each of the addresses. It continues after an error, since
// any datagram may be lost, and returns the first one for the log.
func (d *Datagrams[T]) Send(message T, addresses []string) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return errors.Annotate(err, "datagram")
	}
	data = append(d.preface[:], data...)
	if len(data) > maxDatagramSize {
		return errors.Errorf("datagram of %d bytes exceeds the limit of %d", len(data), maxDatagramSize)
	}
	var firstErr error
	for _, address := range addresses {
		udpAddr, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = d.conn.WriteToUDP(data, udpAddr)
		}
		if err == nil && d.OnSend != nil {
			d.OnSend(address, len(data))
		}
		if err != nil && firstErr == nil {
			firstErr = errors.Annotatef(err, "send datagram to %s", address)
		}
	}
	return firstErr
}

// Run calls handle with each message that arrives, until ctx ends. It drops datagrams
// of other deployments and those that it can't decode, such as messages of another
// version.
func (d *Datagrams[T]) Run(ctx context.Context, handle func(T)) error {
	stop := context.AfterFunc(ctx, func() { d.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramSize)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "receive datagrams")
		}
		var message T
		body, sameDeployment := bytes.CutPrefix(buffer[:n], d.preface[:])
		if sameDeployment && cbor.Unmarshal(body, &message) == nil {
			handle(message)
		}
	}
}
