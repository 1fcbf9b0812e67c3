package pace

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// pieceTime is how long a piece of a chunk keeps the link busy, and so a request behind it waiting.
	pieceTime = 250 * time.Microsecond
	minPiece  = 4 << 10
	maxPiece  = 64 << 10
	// bulkShare is the part of the link, in percent, that chunks and requests together may fill while there are
	// requests: what is left keeps the queue on the link short.
	bulkShare = 80
	// liveWindow is how long after the last request the link counts as shared with requests.
	liveWindow = 3 * time.Second
)

// Pacer shares one box's link, in and out together, between live requests and chunks. A nil Pacer, and one without
// a rate, lets everything pass.
type Pacer struct {
	limiter  *rate.Limiter
	piece    int
	rate     int64
	lastLive atomic.Int64
	now      func() time.Time
}

// New returns a pacer for a link of so many bytes a second; 0 means that the link's rate is not known.
func New(bytesPerSecond int64) *Pacer {
	p := &Pacer{now: time.Now, piece: maxPiece}
	if bytesPerSecond > 0 {
		p.piece = int(min(max(bytesPerSecond*int64(pieceTime)/int64(time.Second), minPiece), maxPiece))
		p.limiter = rate.NewLimiter(share(bytesPerSecond, bulkShare), p.piece)
		p.rate = bytesPerSecond
	}
	return p
}

// WithShare returns the pacer with another part of the link, in percent, for chunks and requests together while there
// are requests. It is called before the pacer is used.
func (p *Pacer) WithShare(percent int64) *Pacer {
	if p.limiter != nil {
		p.limiter.SetLimit(share(p.rate, percent))
	}
	return p
}

// share returns a part, in percent, of a link's bytes a second.
func share(bytesPerSecond, percent int64) rate.Limit {
	return rate.Limit(bytesPerSecond * percent / 100)
}

// Live notes bytes of a request or an answer: they pass at once, and chunks wait the longer.
func (p *Pacer) Live(n int) {
	if p == nil || p.limiter == nil {
		return
	}
	now := p.now()
	p.lastLive.Store(now.UnixNano())
	for n > 0 {
		p.limiter.ReserveN(now, min(n, p.piece))
		n -= p.piece
	}
}

// Piece returns how many bytes of a chunk pass at a time.
func (p *Pacer) Piece() int {
	if p == nil {
		return maxPiece
	}
	return p.piece
}

// Wait waits until n bytes of a chunk, a piece at most, may pass. Without requests they may at once.
func (p *Pacer) Wait(ctx context.Context, n int) error {
	if p == nil || p.limiter == nil || p.now().Sub(time.Unix(0, p.lastLive.Load())) > liveWindow {
		return ctx.Err()
	}
	return p.limiter.WaitN(ctx, n)
}

// DialFunc opens a connection to an address.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer wraps a dial function, so that what the connections read is paced as chunks are.
func (p *Pacer) Dialer(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &pacedConn{Conn: conn, pacer: p}, nil
	}
}

// pacedConn is a connection whose reads are paced.
type pacedConn struct {
	net.Conn
	pacer *Pacer
}

// Read reads a piece at most; the next waits until this one may have passed.
func (c *pacedConn) Read(buf []byte) (int, error) {
	buf = buf[:min(len(buf), c.pacer.Piece())]
	n, err := c.Conn.Read(buf)
	if n > 0 {
		_ = c.pacer.Wait(context.Background(), n)
	}
	return n, err
}
