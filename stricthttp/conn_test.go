package stricthttp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const responseStart = "HTTP/1.1 200 OK\r\n\r\nhell"

// scriptedConn reads a response and then the end of the connection; its Writes take writeTime and end with writeErr.
type scriptedConn struct {
	net.Conn
	unread    string
	writeTime time.Duration
	writeErr  error
	closed    chan struct{}
}

func (c *scriptedConn) Close() error {
	close(c.closed)
	return nil
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if c.unread == "" {
		return 0, io.EOF
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	select {
	case <-time.After(c.writeTime):
		return len(p), c.writeErr
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// TestEndOfConnection checks what Reads report at the end of a connection while the request is written in two parts; want is nil for a plain
// end.
func TestEndOfConnection(t *testing.T) {
	for name, test := range map[string]struct {
		conn      scriptedConn
		closeAt   time.Duration
		want      error
		unwritten bool
	}{
		"request written before":  {conn: scriptedConn{unread: responseStart}},
		"request written after":   {conn: scriptedConn{unread: responseStart, writeTime: time.Second / 2}},
		"reset after the end":     {conn: scriptedConn{unread: responseStart, writeTime: time.Second / 2, writeErr: syscall.ECONNRESET}, want: syscall.ECONNRESET, unwritten: true},
		"request not written":     {conn: scriptedConn{unread: responseStart, writeTime: time.Hour}, want: os.ErrDeadlineExceeded, unwritten: true},
		"closed meanwhile":        {conn: scriptedConn{unread: responseStart, writeTime: time.Hour}, closeAt: time.Second / 2, want: net.ErrClosed, unwritten: true},
		"end within the head":     {conn: scriptedConn{unread: "HTTP/1.1 200 OK\r\n", writeTime: time.Hour}},
		"end before the response": {conn: scriptedConn{writeTime: time.Hour}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				inner := test.conn
				inner.closed = make(chan struct{})
				c := &Conn{Conn: &inner}
				c.beginRequest()
				go func() {
					for range 2 {
						if _, err := c.Write([]byte("part")); err != nil {
							return
						}
					}
					c.endRequest()
				}()
				if test.closeAt > 0 {
					time.AfterFunc(test.closeAt, func() { _ = c.Close() })
				}
				_, err := io.Copy(io.Discard, readerOf(c))
				if !errors.Is(err, test.want) || errors.As(err, new(*UnwrittenError)) != test.unwritten {
					t.Errorf("error %v, want %v", err, test.want)
				}
				if test.closeAt == 0 {
					_ = c.Close()
				}
			})
		})
	}
}

// readerOf hides all methods of a connection but Read.
func readerOf(c *Conn) io.Reader { return struct{ io.Reader }{c} }

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
