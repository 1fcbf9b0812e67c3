package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// limit is how long it may take to find out: a dead port refuses at once, and a machine that is gone says nothing.
const limit = 400 * time.Millisecond

// Refuses reports whether nothing listens at a host and port; a host that says nothing does not refuse.
func Refuses(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
