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
	// segmentSize bounds the bytes sent at once, so that connections share the link evenly.
	segmentSize = 4 << 10
	// packetSize is the segment size that delays small messages as a real link does; it costs more CPU time.
	packetSize = 1460
	// minCorruptLen limits corruption to writes of chunks, not small messages.
	minCorruptLen = 2 << 10
	stallInterval = 5 * time.Millisecond
)

var errLinkDown = errors.New("lab: the link is down")

// Link is a box's simulated network link; inbound and outbound traffic share its rate.
type Link struct {
	limiter *rate.Limiter
	segment atomic.Int64
	in, out atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
	// corruptProb is the probability that a byte of a chunk is corrupted.
	corruptProb  float64
	stalledUntil time.Time
	down         bool
	conns        map[*linkConn]bool
}

// NewLink returns a link with a rate in bytes per second, in and out together; 0 means no limit.
func NewLink(bytesPerSecond float64, seed uint64) *Link {
	l := &Link{
		limiter: rate.NewLimiter(rate.Inf, segmentSize),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		conns:   make(map[*linkConn]bool),
	}
	l.segment.Store(segmentSize)
	l.SetRate(bytesPerSecond)
	return l
}

// Bytes returns the number of bytes received and sent.
func (l *Link) Bytes() (in, out int64) { return l.in.Load(), l.out.Load() }

// SetDown closes all connections and prevents new ones, or ends that.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	if !down {
		return
	}
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
}

// Dial opens a connection over the link.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.isDown() {
		return nil, errLinkDown
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return l.wrap(conn), nil
}

// Listener returns a listener whose connections use the link.
func (l *Link) Listener(inner net.Listener) net.Listener {
	return &linkListener{Listener: inner, link: l}
}

// SetCorrupt corrupts a share, from 0 to 1, of the outgoing chunks; chunkSize is in bytes.
func (l *Link) SetCorrupt(share float64, chunkSize int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.corruptProb = share / float64(chunkSize)
}

// UsePacketSize sends packet by packet, so that small messages are delayed as on a real link.
func (l *Link) UsePacketSize() { l.segment.Store(packetSize) }

// SetRate sets the rate in bytes per second; 0 means no limit.
func (l *Link) SetRate(bytesPerSecond float64) {
	if bytesPerSecond <= 0 {
		l.limiter.SetLimit(rate.Inf)
		return
	}
	l.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// Stall stops all traffic for a duration; connections stay open.
func (l *Link) Stall(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalledUntil = time.Now().Add(d)
}

func (l *Link) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

func (l *Link) throttle(n int) {
	for l.stalled() {
		time.Sleep(stallInterval)
	}
	_ = l.limiter.WaitN(context.Background(), n)
}

func (l *Link) stalled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.stalledUntil)
}

// corruptData returns data, or with some probability a copy with one byte changed.
func (l *Link) corruptData(data []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.corruptProb == 0 || len(data) < minCorruptLen || l.rng.Float64() >= l.corruptProb*float64(len(data)) {
		return data
	}
	corrupted := append([]byte(nil), data...)
	corrupted[len(corrupted)/2] ^= 0x55
	return corrupted
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

// Accept returns the next connection, wrapped in the link; it closes connections while the link is down.
func (l *linkListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.link.isDown() {
			return l.link.wrap(conn), nil
		}
		_ = conn.Close()
	}
}

type linkConn struct {
	net.Conn
	link *Link
}

// Close closes the connection and removes it from the link.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// Read reads at most one segment at the link's rate.
func (c *linkConn) Read(p []byte) (int, error) {
	p = p[:min(len(p), int(c.link.segment.Load()))]
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.link.throttle(n)
		c.link.in.Add(int64(n))
	}
	return n, err
}

// Write writes segment by segment at the link's rate.
func (c *linkConn) Write(p []byte) (int, error) {
	data := c.link.corruptData(p)
	size := int(c.link.segment.Load())
	written := 0
	for written < len(data) {
		segment := data[written:min(len(data), written+size)]
		c.link.throttle(len(segment))
		n, err := c.Conn.Write(segment)
		written += n
		c.link.out.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}
