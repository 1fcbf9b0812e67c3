package forward

import (
	"context"
	"net"
	"sync"
	"time"
)

// memNetwork connects entries in memory, so that they can run in virtual time; latency is the one-way delay.
type memNetwork struct {
	latency time.Duration

	mu        sync.Mutex
	listeners map[string]*memListener
}

// memListener accepts the connections to one address of a memNetwork.
type memListener struct {
	conns  chan net.Conn
	closed chan struct{}
	close  sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memListener) Close() error {
	l.close.Do(func() { close(l.closed) })
	return nil
}

func (n *memNetwork) listen(address string) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[string]*memListener)
	}
	n.listeners[address] = l
	return l
}

func (n *memNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	time.Sleep(2 * n.latency)
	if l == nil {
		return nil, net.ErrClosed
	}
	near, nearEnd := net.Pipe()
	farEnd, far := net.Pipe()
	select {
	case l.conns <- far:
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	go n.forward(nearEnd, farEnd)
	go n.forward(farEnd, nearEnd)
	return near, nil
}

// forward copies bytes from one connection to another with the network's latency, until one of them is closed.
func (n *memNetwork) forward(from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buf := make([]byte, 64<<10)
	for {
		size, err := from.Read(buf)
		if err != nil {
			return
		}
		time.Sleep(n.latency)
		if _, err := to.Write(buf[:size]); err != nil {
			return
		}
	}
}
