package connlimit

import (
	"context"
	"io"
	"net"
	"net/http"
)

// Apply makes a server that serves the listener keep to the limits. Its own limits on the time for headers and between requests do not
// apply any more.
func (l *Listener) Apply(server *http.Server) {
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	server.Handler = handler(server.Handler)
	connState, connContext := server.ConnState, server.ConnContext
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if conn, ok := c.(*Conn); ok {
			conn.setHTTPState(state)
		}
		if connState != nil {
			connState(c, state)
		}
	}
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		if conn, ok := c.(*Conn); ok {
			ctx = context.WithValue(ctx, connKey{}, conn)
		}
		return ctx
	}
}

// handler serves requests whose connections are not closed yet, and counts the memory of those that share a connection.
func handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.isClosed() || r.ContentLength == 0 && !c.Received() {
			panic(http.ErrAbortHandler)
		}
		if r.ProtoMajor > 1 {
			body := c.openStream(r)
			defer body.release()
			r.Body = body
		}
		next.ServeHTTP(w, r)
	})
}

// isClosed reports whether the connection has been closed.
func (c *Conn) isClosed() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.state == stateClosed
}

// stream counts the memory of a request that shares its connection with others. It is the request's body.
type stream struct {
	io.ReadCloser
	conn    *Conn
	counted int64
	full    bool
}

// openStream returns the body of a request, which counts the request's header and what is read of it.
func (c *Conn) openStream(r *http.Request) *stream {
	s := &stream{ReadCloser: r.Body, conn: c}
	header := int64(streamBytes)
	for name, values := range r.Header {
		for _, value := range values {
			header += int64(len(name)+len(value)) + lineBytes
		}
	}
	c.listener.mu.Lock()
	defer c.listener.unlock()
	c.multiplexed = true
	s.count(header)
	return s
}

// Read reads from the body. The error may be a *ClosedError.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.conn.listener.mu.Lock()
	defer s.conn.listener.unlock()
	s.count(int64(n))
	if s.full {
		return 0, &ClosedError{Reason: string(memoryFull)}
	}
	return n, err
}

// count counts memory unless there is too little left. The caller holds the mutex.
func (s *stream) count(n int64) {
	if s.full = s.full || !s.conn.listener.evictForMemory(n, nil); s.full {
		return
	}
	s.counted += n
	s.conn.listener.counted += n
}

// release ends the request's account.
func (s *stream) release() {
	s.conn.listener.mu.Lock()
	defer s.conn.listener.mu.Unlock()
	s.conn.listener.counted -= s.counted
	s.counted = 0
}
