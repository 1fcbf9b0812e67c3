package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// timeout bounds a probe of a machine that does not respond; a closed port refuses immediately.
const timeout = 400 * time.Millisecond

// Refuses reports whether a connection to host:port is refused. A timeout is not a refusal.
func Refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
