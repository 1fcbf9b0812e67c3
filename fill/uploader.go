package fill

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/link"
)

const (
	// givesAtOnce is how many pieces are on their way out at a time: one after the other, the first is there sooner; one
	// peer that does not read must not hold up all.
	givesAtOnce = 2
	// giveTime is how long a piece may take to leave before the next one goes out beside it.
	giveTime = time.Second
)

// ask is a piece that another box asked for; far says that the box is in another site.
type ask struct {
	link  *inLink
	key   uint64
	piece int
	far   bool
	// turn is the place of the box's server among those of its service when they load.
	turn  uint64
	since time.Time
	// given is how long pieces had been on their way to the box when it asked.
	given time.Duration
}

// giving is for how long pieces have been on their way to one box; guarded by the uploader's mutex.
type giving struct {
	pieces int
	since  time.Time
	sum    time.Duration
}

func (g *giving) begin(now time.Time) {
	if g.pieces++; g.pieces == 1 {
		g.since = now
	}
}

func (g *giving) end(now time.Time) {
	if g.pieces--; g.pieces == 0 {
		g.sum += now.Sub(g.since)
	}
}

func (g *giving) total(now time.Time) time.Duration {
	if g.pieces > 0 {
		return g.sum + now.Sub(g.since)
	}
	return g.sum
}

// before reports whether an ask goes before another that came earlier.
func (a ask) before(b ask) bool {
	if a.far != b.far {
		return a.far
	}
	return a.turn < b.turn
}

// uploader hands out pieces: those to other sites first, since a whole site waits for them, then those to boxes whose servers
// load first: if all were filled at the same time, many would load at once.
type uploader struct {
	box   *Box
	woken chan struct{}

	mu    sync.Mutex
	queue []ask
	busy  int
}

func newUploader(b *Box) *uploader {
	return &uploader{box: b, woken: make(chan struct{}, givesAtOnce)}
}

// serve hands out pieces until ctx ends.
func (g *uploader) serve(ctx context.Context) error {
	for range givesAtOnce {
		go func() {
			for g.giveNext(ctx) {
				continue
			}
		}()
	}
	<-ctx.Done()
	return ctx.Err()
}

// add queues a piece unless it waits already.
func (g *uploader) add(next ask) {
	g.mu.Lock()
	known := slices.ContainsFunc(g.queue, func(queued ask) bool { return queued.link == next.link && queued.piece == next.piece })
	if !known {
		next.since = clock.Now()
		next.given = next.link.giving.total(next.since)
		g.queue = append(g.queue, next)
	}
	g.mu.Unlock()
	g.wake()
}

func (g *uploader) wake() {
	select {
	case g.woken <- struct{}{}:
	default:
	}
}

// drop takes out what a box no longer wants: the pieces named, and all of other versions.
func (g *uploader) drop(l *inLink, key uint64, pieces []uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue = slices.DeleteFunc(g.queue, func(queued ask) bool {
		return queued.link == l && (queued.key != key || slices.Contains(pieces, uint32(queued.piece)))
	})
}

// leave takes out all that a link asked for.
func (g *uploader) leave(l *inLink) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue = slices.DeleteFunc(g.queue, func(queued ask) bool { return queued.link == l })
}

// waiting returns how many pieces wait or are on their way out.
func (g *uploader) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue) + g.busy
}

// take returns the next piece to give.
func (g *uploader) take() (next ask, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.queue) == 0 {
		return ask{}, false
	}
	i := 0
	for k, queued := range g.queue {
		if queued.before(g.queue[i]) {
			i = k
		}
	}
	next = g.queue[i]
	g.queue = slices.Delete(g.queue, i, i+1)
	g.busy++
	return next, true
}

// begin notes that a piece leaves, and returns how long it waited for pieces to others: while others of its own were on their
// way, what held it up is the box's link.
func (g *uploader) begin(next ask) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	waited := now.Sub(next.since) - (next.link.giving.total(now) - next.given)
	next.link.giving.begin(now)
	return max(waited, 0)
}

// end notes that a piece has left, or will not.
func (g *uploader) end(next ask) {
	g.mu.Lock()
	defer g.mu.Unlock()
	next.link.giving.end(clock.Now())
}

// giveNext gives the next piece, or waits for one; false once ctx has ended.
func (g *uploader) giveNext(ctx context.Context) bool {
	next, ok := g.take()
	if !ok {
		select {
		case <-ctx.Done():
			return false
		case <-g.woken:
			return true
		}
	}
	defer func() {
		g.mu.Lock()
		g.busy--
		g.mu.Unlock()
		g.wake()
	}()
	data := g.read(ctx, next)
	if data == nil {
		next.link.send(&link.Decline{Manifest: next.key, Chunk: uint32(next.piece)})
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, giveTime)
	defer cancel()
	waited := g.begin(next)
	defer g.end(next)
	chunk := &link.Chunk{Manifest: next.key, Chunk: uint32(next.piece), Body: data, Waited: waited}
	if next.link.conn.Deliver(ctx, chunk) == nil {
		bytesGiven.Add(len(data))
	}
	return true
}

// read reads a piece back; nil when it is not held or turned bad, and then it is fetched again.
func (g *uploader) read(ctx context.Context, next ask) []byte {
	b := g.box
	f := b.filling(next.key)
	if f == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stageTime)
	defer cancel()
	data, err := b.staged(ctx, f, next.piece)
	if err == nil && f.manifest.Fits(next.piece, data) {
		return data
	}
	b.mu.Lock()
	f.feed.Lost(next.piece)
	b.mu.Unlock()
	b.wake()
	return nil
}
