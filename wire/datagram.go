package wire

import (
	"bytes"
	"context"
	"net"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// maxDatagram bounds a datagram in bytes, below what any UDP packet may hold.
const maxDatagram = 60 << 10

// Datagrams sends and receives messages of one type that may be lost: each must
// stand by itself, and the next one replace it. ListenDatagrams makes one.
type Datagrams[T any] struct {
	conn    *net.UDPConn
	preface [prefaceBytes]byte
}

// ListenDatagrams opens an address for sending to, and receiving from, processes
// of the same deployment.
func ListenDatagrams[T any](address string, deployment Deployment) (*Datagrams[T], error) {
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Datagrams[T]{conn, deployment.preface()}, nil
}

// Address is where the datagrams are received.
func (d *Datagrams[T]) Address() string { return d.conn.LocalAddr().String() }

// Send sends one message to each of the addresses. What can't be sent is as
// good as lost; the first such error is given, for the log.
func (d *Datagrams[T]) Send(message T, addresses []string) error {
	data, err := cbor.Marshal(message)
	if err != nil {
		return errors.Annotate(err, "datagram")
	}
	data = append(d.preface[:], data...)
	if len(data) > maxDatagram {
		return errors.Errorf("datagram of %d bytes is longer than %d", len(data), maxDatagram)
	}
	var first error
	for _, address := range addresses {
		to, err := net.ResolveUDPAddr("udp4", address)
		if err == nil {
			_, err = d.conn.WriteToUDP(data, to)
		}
		if err != nil && first == nil {
			first = errors.Annotatef(err, "datagram to %s", address)
		}
	}
	return first
}

// Run passes each message that arrives to take, until ctx ends. What can't be
// read is dropped: it comes from another deployment or version, or is no message
// at all.
func (d *Datagrams[T]) Run(ctx context.Context, take func(T)) error {
	stop := context.AfterFunc(ctx, func() { d.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Annotate(err, "receive datagrams")
		}
		var message T
		data, own := bytes.CutPrefix(buffer[:n], d.preface[:])
		if own && cbor.Unmarshal(data, &message) == nil {
			take(message)
		}
	}
}
