package relayer

import (
	"errors"
	"net"
	"syscall"
)

// socketInput is what a read of a connection would return at once.
type socketInput string

const (
	inputNone socketInput = "none"
	inputData socketInput = "data"
	inputEnd  socketInput = "end" // the peer has closed or reset the connection
)

// peekInput returns what a read of the connection would return, without reading it. It is
// inputNone for connections that are no sockets.
func peekInput(c net.Conn) socketInput {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return inputNone
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return inputEnd
	}
	input := inputEnd
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			input = inputData
		case errors.Is(rerr, syscall.EAGAIN) || errors.Is(rerr, syscall.EINTR):
			input = inputNone
		}
	})
	if err != nil {
		return inputEnd
	}
	return input
}
