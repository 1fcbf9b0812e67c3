package stricthttp

import (
	"errors"
	"io"
	"net"
	"testing"
)

// scriptedConn reads a text and then the end of the connection.
type scriptedConn struct {
	net.Conn
	unread string
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.unread == "" {
		return 0, io.EOF
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// TestKeptConnectionChecksEachHead checks that the head of each response on a connection is scanned, whatever the bodies contain and however
// the bytes are split.
func TestKeptConnectionChecksEachHead(t *testing.T) {
	const (
		sound  = "HTTP/1.0 200 OK\r\nContent-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n"
		faulty = "HTTP/1.0 200 OK\nA: b\nTRANSFER-encoding: chunked\n\n"
	)
	for size := 1; size < len(sound); size++ {
		c := &Conn{Conn: &scriptedConn{unread: sound + sound}}
		read := func(n int) (err error) {
			for n > 0 && err == nil {
				var got int
				got, err = c.Read(make([]byte, min(size, n)))
				n -= got
			}
			return err
		}
		for range 2 {
			c.beginRequest()
			if err := read(len(sound)); err != nil {
				t.Fatalf("parts of %d bytes: %v", size, err)
			}
		}
		c.Conn = &scriptedConn{unread: faulty}
		c.beginRequest()
		if err := read(len(faulty)); !errors.As(err, new(*InvalidHeadError)) {
			t.Errorf("parts of %d bytes: error %v, want an invalid head", size, err)
		}
		if _, err := c.Read(make([]byte, 1)); !errors.As(err, new(*InvalidHeadError)) {
			t.Errorf("parts of %d bytes: read on after an invalid head: %v", size, err)
		}
	}
}
