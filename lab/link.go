package lab

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// linkPiece is how many bytes pass a link at a time, so that connections share it evenly.
	linkPiece = 4 << 10
	// packet is the piece of a link that is to delay small messages as a real one does; it costs more processor time.
	packet = 1460
	// corruptFrom is the least length of a write that a corrupting link damages: chunks, not small messages.
	corruptFrom = 2 << 10
	stallPoll   = 5 * time.Millisecond
)

var errCut = errors.New("lab: the link is cut")

// Link is one box's link to the rest of the world: what goes in and out shares its rate.
type Link struct {
	limiter *rate.Limiter
	piece   atomic.Int64
	in, out atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
	// corrupt is the chance that a byte of a chunk is damaged.
	corrupt float64
	stall   time.Time
	cut     bool
	conns   map[*linkConn]bool
}

// NewLink returns a link of so many bytes a second, in and out together; 0 means no limit.
func NewLink(bytesPerSecond float64, seed uint64) *Link {
	l := &Link{
		limiter: rate.NewLimiter(rate.Inf, linkPiece),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		conns:   make(map[*linkConn]bool),
	}
	l.piece.Store(linkPiece)
	l.SetRate(bytesPerSecond)
	return l
}

// Bytes returns the bytes that passed in and out.
func (l *Link) Bytes() (in, out int64) { return l.in.Load(), l.out.Load() }

// Cut breaks all connections and lets none be made, until it is healed.
func (l *Link) Cut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
}

// Dial makes a connection over the link.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.isCut() {
		return nil, errCut
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// Listener returns a listener whose connections pass the link.
func (l *Link) Listener(inner net.Listener) net.Listener {
	return &linkListener{Listener: inner, link: l}
}

// SetCorrupt damages a share of the chunks of a size that go out.
func (l *Link) SetCorrupt(share float64, chunkSize int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.corrupt = share / float64(chunkSize)
}

// SetPackets lets what passes the link pass in packets, so that small messages wait no longer than on a real one.
func (l *Link) SetPackets() { l.piece.Store(packet) }

// SetRate changes the link's rate; 0 means no limit.
func (l *Link) SetRate(bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		l.limiter.SetLimit(rate.Inf)
		return
	}
	l.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// Stall lets nothing pass for a while; connections stay up.
func (l *Link) Stall(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stall = time.Now().Add(d)
}

func (l *Link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *Link) pass(n int) {
	for l.stalled() {
		time.Sleep(stallPoll)
	}
	_ = l.limiter.WaitN(context.Background(), n)
}

func (l *Link) stalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.stall)
}

// damage returns data, or a copy with one byte changed.
func (l *Link) damage(data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.corrupt == 0 || len(data) < corruptFrom || l.rng.Float64() >= l.corrupt*float64(len(data)) {
		return data
	}
	damaged := append([]byte(nil), data...)
	damaged[len(damaged)/2] ^= 0x55
	return damaged
}

func (l *Link) wrap(conn net.Conn) net.Conn {
	c := &linkConn{Conn: conn, link: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c
}

type linkListener struct {
	net.Listener
	link *Link
}

// Accept returns the next connection, over the link.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.link.isCut() {
			return l.link.wrap(conn), nil
		}
		_ = conn.Close()
	}
}

type linkConn struct {
	net.Conn
	link *Link
}

// Close ends the connection.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// Read reads at most a piece, as fast as the link lets it in.
func (c *linkConn) Read(p []byte) (int, error) {
	p = p[:min(len(p), int(c.link.piece.Load()))]
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.pass(n)
		c.link.in.Add(int64(n))
	}
	return n, err
}

// Write writes piece by piece, as fast as the link lets it out.
func (c *linkConn) Write(p []byte) (int, error) {
	data := c.link.damage(p)
	size := int(c.link.piece.Load())
	written := 0
	for written < len(data) {
		piece := data[written:min(len(data), written+size)]
		c.link.pass(len(piece))
		n, err := c.Conn.Write(piece)
		written += n
		c.link.out.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
