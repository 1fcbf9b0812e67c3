package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	dialTimeout = 2 * time.Second
	// reopenPause is the pause before a client opens a connection again.
	reopenPause = 300 * time.Millisecond
	// A client sends burstBytes every burstInterval.
	burstBytes    = 4 << 10
	burstInterval = 20 * time.Millisecond
	// unreadBuffer is the receive buffer of clients that do not read.
	unreadBuffer = 4 << 10
)

// Kind is what each client of a crowd does with a connection. The zero Kind opens it and sends nothing.
type Kind struct {
	// Start is sent first.
	Start string
	// Next returns the n-th part of what follows, counted from 0; nil if nothing follows.
	Next func(n int) string
	// Bytes is how many bytes follow at least; 0 means without end.
	Bytes int
	// Unread says that the client does not read responses.
	Unread bool
}

// Crowd is a number of clients of one kind. Each keeps one connection open and replaces it whenever the server closes it.
type Crowd struct {
	address string
	kind    Kind
	cancel  context.CancelFunc
	clients sync.WaitGroup
}

// Start starts clients of a server at a host and port.
func Start(address string, kind Kind, clients int) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{address: address, kind: kind, cancel: cancel}
	for range clients {
		c.clients.Go(func() {
			for ctx.Err() == nil {
				c.use(ctx)
				pause(ctx, reopenPause)
			}
		})
	}
	return c
}

// Stop closes all connections and waits for the clients to end.
func (c *Crowd) Stop() {
	c.cancel()
	c.clients.Wait()
}

// use opens a connection and uses it until it is closed or ctx ends.
func (c *Crowd) use(ctx context.Context) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if tcp, ok := conn.(*net.TCPConn); ok && c.kind.Unread {
		_ = tcp.SetReadBuffer(unreadBuffer)
	}
	if c.kind.send(ctx, conn) != nil {
		return
	}
	if c.kind.Unread {
		<-ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// send sends everything, in bursts.
func (k Kind) send(ctx context.Context, w io.Writer) error {
	buffer := []byte(k.Start)
	for n, sent := 0, 0; k.Next != nil && (k.Bytes == 0 || sent < k.Bytes); n++ {
		part := k.Next(n)
		buffer = append(buffer, part...)
		sent += len(part)
		if len(buffer) < burstBytes {
			continue
		}
		if _, err := w.Write(buffer); err != nil {
			return err
		}
		buffer = buffer[:0]
		pause(ctx, burstInterval)
	}
	_, err := w.Write(buffer)
	return err
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
