package bandwidth

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// burstTime is how long one burst of a chunk occupies the link, and so the longest delay of a request behind it.
	burstTime = 250 * time.Microsecond
	minBurst  = 4 << 10
	maxBurst  = 64 << 10
	// sharedPercent is the percentage of the link that chunks and requests together may use while there are requests; the
	// rest keeps the link's queue short.
	sharedPercent = 80
	// sharedWindow is how long after the last request bytes the link counts as shared with requests.
	sharedWindow = 3 * time.Second
)

// Pacer shares a box's link, both directions together, between requests and chunks. A nil Pacer and one without a rate do
// not limit.
type Pacer struct {
	limiter     *rate.Limiter
	burst       int
	rate        int64
	lastRequest atomic.Int64
	now         func() time.Time
}

// New returns a Pacer for a link's rate in bytes per second; 0 means that the rate is unknown.
func New(bytesPerSecond int64) *Pacer {
	p := &Pacer{now: time.Now, burst: maxBurst}
	if bytesPerSecond > 0 {
		p.burst = int(min(max(bytesPerSecond*int64(burstTime)/int64(time.Second), minBurst), maxBurst))
		p.limiter = rate.NewLimiter(share(bytesPerSecond, sharedPercent), p.burst)
		p.rate = bytesPerSecond
	}
	return p
}

// WithShare sets the percentage of the link that chunks and requests together may use while there are requests, and returns
// the Pacer. It must be called before the Pacer is used.
func (p *Pacer) WithShare(percent int64) *Pacer {
	if p.limiter != nil {
		p.limiter.SetLimit(share(p.rate, percent))
	}
	return p
}

// share returns a percentage of a link's rate in bytes per second.
func share(bytesPerSecond, percent int64) rate.Limit {
	return rate.Limit(bytesPerSecond * percent / 100)
}

// Charge charges n bytes of a request or response. They are not delayed, but delay the chunks after them.
func (p *Pacer) Charge(n int) {
	if p == nil || p.limiter == nil {
		return
	}
	now := p.now()
	p.lastRequest.Store(now.UnixNano())
	for n > 0 {
		p.limiter.ReserveN(now, min(n, p.burst))
		n -= p.burst
	}
}

// MaxBurst returns the maximum burst of a chunk in bytes.
func (p *Pacer) MaxBurst() int {
	if p == nil {
		return maxBurst
	}
	return p.burst
}

// Wait blocks until n bytes of a chunk, at most one burst, may pass. It does not block without recent requests.
func (p *Pacer) Wait(ctx context.Context, n int) error {
	if p == nil || p.limiter == nil || p.now().Sub(time.Unix(0, p.lastRequest.Load())) > sharedWindow {
		return ctx.Err()
	}
	return p.limiter.WaitN(ctx, n)
}

// DialFunc dials an address.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer wraps a dial function so that reads from its connections are paced like chunks.
func (p *Pacer) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &pacedConn{Conn: conn, pacer: p}, nil
	}
}

type pacedConn struct {
	net.Conn
	pacer *Pacer
}

// Read reads at most one burst, then blocks until the burst may pass.
func (c *pacedConn) Read(buf []byte) (int, error) {
	buf = buf[:min(len(buf), c.pacer.MaxBurst())]
	n, err := c.Conn.Read(buf)
	if n > 0 {
		_ = c.pacer.Wait(context.Background(), n)
	}
	return n, err
}
