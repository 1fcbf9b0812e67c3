package stricthttp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// sendQueue returns how many bytes written to a connection its peer has not acknowledged, 0 if that is not known, and the connection's
// pending error, such as a reset after the peer's end.
func sendQueue(c net.Conn) (queued int, err error) {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return 0, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var pending int
	if err := raw.Control(func(fd uintptr) {
		queued, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		pending, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	}); err != nil {
		return 0, err
	}
	if pending != 0 {
		return queued, syscall.Errno(pending)
	}
	return queued, nil
}
