package callers

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Sizes of the buffer, in bytes, in which the kernel receives what a connection has not read yet. The kernel takes up to
// twice as much. By default the buffer grows to megabytes, which the sender alone decides.
const (
	// CallerBuffer is for requests, of which nearly all are smaller.
	CallerBuffer = 16 << 10
	// PeerBuffer is for connections between the system's own processes, which carry large messages over slow links.
	PeerBuffer = 32 << 10
)

// kernelFactor is how much of memory the kernel takes for a byte of a receive buffer at most.
const kernelFactor = 2

// setReceiveBuffer sets the size of the connection's receive buffer, if it has one.
func (c *Conn) setReceiveBuffer(size int) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := inner.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size) })
	}
}

// Listen listens on a TCP address, with a receive buffer of that size for each connection.
func Listen(address string, buffer int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// A system that does not support the size has one of its own.
		return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	return listener, errors.Wrap(err, "listen")
}
