package probe

import (
	"context"
	"errors"
	"net"
	"net/http"
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

// EndedByExit reports whether a response ended because the process at host:port exited. Only responses without a length or chunks are
// checked: the end of their connection looks the same when they are incomplete.
func EndedByExit(resp *http.Response, address string) bool {
	return EndsWithConnection(resp) && Refuses(address)
}

// EndsWithConnection reports whether a response has neither a length nor chunks, so that only the end of its connection ends it.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
