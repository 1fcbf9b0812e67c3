package supervise

import (
	"context"
	"net"
	"net/http"
)

// ServeHTTP runs a server until ctx ends, then closes it without waiting for requests.
func ServeHTTP(ctx context.Context, server *http.Server, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}
