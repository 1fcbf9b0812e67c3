package rawhttp

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"net/http"
	"time"
)

// defaultPause is how long an upload goes on until its connection is reset.
const defaultPause = 30 * time.Millisecond

// Answer answers a request whose body has not been read. The connection is closed after it.
type Answer func(conn *net.TCPConn, r *http.Request)

// Serve answers the first request on each connection to the listener until it is closed.
func Serve(listener net.Listener, answer Answer) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			if r, err := http.ReadRequest(bufio.NewReaderSize(conn, 1<<10)); err == nil {
				answer(conn.(*net.TCPConn), r)
			}
		}()
	}
}

// End is a way to end a connection to which a response without a length was written, while its request is still being read.
type End struct {
	// Complete says that the response is complete.
	Complete bool
	pause    time.Duration
	end      func(conn *net.TCPConn, r *http.Request, pause time.Duration)
}

// WithPause returns the same end after another pause.
func (e End) WithPause(pause time.Duration) End {
	e.pause = pause
	return e
}

// Answer returns an Answer that writes a response and then ends the connection.
func (e End) Answer(response string) Answer {
	return func(conn *net.TCPConn, r *http.Request) {
		if _, err := io.WriteString(conn, response); err == nil {
			e.end(conn, r, cmp.Or(e.pause, defaultPause))
		}
	}
}

// Ends returns ways to end a connection by name.
func Ends() map[string]End {
	readBody := func(r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }
	return map[string]End{
		"reset": {end: func(conn *net.TCPConn, _ *http.Request, pause time.Duration) {
			time.Sleep(pause)
			_ = conn.SetLinger(0)
		}},
		"close while the upload is unread": {end: func(_ *net.TCPConn, _ *http.Request, pause time.Duration) { time.Sleep(pause) }},
		"end, then reset": {end: func(conn *net.TCPConn, _ *http.Request, pause time.Duration) {
			_ = conn.CloseWrite()
			time.Sleep(pause)
			_ = conn.SetLinger(0)
		}},
		"end, the rest of the upload is read": {Complete: true, end: func(conn *net.TCPConn, r *http.Request, _ time.Duration) {
			_ = conn.CloseWrite()
			readBody(r)
		}},
		"close after the upload was read": {Complete: true, end: func(_ *net.TCPConn, r *http.Request, _ time.Duration) { readBody(r) }},
	}
}
