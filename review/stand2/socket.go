package main

import (
	"syscall"
)

// setReceiveBuffer sets the receive buffer of a listener, which the channels that it accepts
// inherit.
func setReceiveBuffer(raw syscall.RawConn, size int) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size)
	})
	if err != nil {
		return err
	}
	return optErr
}
