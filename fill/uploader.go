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
	// maxUploads is how many pieces are uploaded at a time: few, so that the first arrives sooner, but more than one, so that a
	// peer that does not read does not block all others.
	maxUploads = 2
	// uploadWait bounds the wait for one upload before the next one starts beside it.
	uploadWait = time.Second
)

// pieceRequest is a piece that another box requested.
type pieceRequest struct {
	link      *inboundLink
	key       uint64
	piece     int
	otherSite bool
	// loadPlace sorts boxes by when their servers load; queuedAt is when the request was queued.
	loadPlace uint64
	queuedAt  time.Time
	// uploadedBefore is the total time of uploads to the box when the request was queued.
	uploadedBefore time.Duration
}

// uploadClock sums the time during which uploads to one box are active; guarded by the uploader's mutex.
type uploadClock struct {
	active      int
	activeSince time.Time
	elapsed     time.Duration
}

func (c *uploadClock) start(now time.Time) {
	if c.active++; c.active == 1 {
		c.activeSince = now
	}
}

func (c *uploadClock) stop(now time.Time) {
	if c.active--; c.active == 0 {
		c.elapsed += now.Sub(c.activeSince)
	}
}

func (c *uploadClock) total(now time.Time) time.Duration {
	if c.active > 0 {
		return c.elapsed + now.Sub(c.activeSince)
	}
	return c.elapsed
}

// before reports whether a request is served before one that was queued earlier.
func (r pieceRequest) before(other pieceRequest) bool {
	if r.otherSite != other.otherSite {
		return r.otherSite
	}
	return r.loadPlace < other.loadPlace
}

// uploader uploads requested pieces: those for other sites first, since a whole site waits for them, then those for boxes
// whose servers load earlier, so that not all servers are ready to load at once.
type uploader struct {
	box    *Box
	wakeup chan struct{}

	mu      sync.Mutex
	queue   []pieceRequest
	sending int
}

func newUploader(b *Box) *uploader {
	return &uploader{box: b, wakeup: make(chan struct{}, maxUploads)}
}

// serve uploads pieces until ctx ends.
func (up *uploader) serve(ctx context.Context) error {
	for range maxUploads {
		go func() {
			for up.uploadNext(ctx) {
				continue
			}
		}()
	}
	<-ctx.Done()
	return ctx.Err()
}

// add queues a request unless the same one is queued already.
func (up *uploader) add(next pieceRequest) {
	up.mu.Lock()
	known := slices.ContainsFunc(up.queue, func(queued pieceRequest) bool { return queued.link == next.link && queued.piece == next.piece })
	if !known {
		next.queuedAt = clock.Now()
		next.uploadedBefore = next.link.uploads.total(next.queuedAt)
		up.queue = append(up.queue, next)
	}
	up.mu.Unlock()
	up.wake()
}

func (up *uploader) wake() {
	select {
	case up.wakeup <- struct{}{}:
	default:
	}
}

// cancel removes a box's requests for some pieces, and all its requests for other versions.
func (up *uploader) cancel(l *inboundLink, key uint64, pieces []uint32) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.queue = slices.DeleteFunc(up.queue, func(queued pieceRequest) bool {
		return queued.link == l && (queued.key != key || slices.Contains(pieces, uint32(queued.piece)))
	})
}

// removeLink removes all requests of a link.
func (up *uploader) removeLink(l *inboundLink) {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.queue = slices.DeleteFunc(up.queue, func(queued pieceRequest) bool { return queued.link == l })
}

// waiting returns the number of requests that are queued or being sent.
func (up *uploader) waiting() int {
	up.mu.Lock()
	defer up.mu.Unlock()
	return len(up.queue) + up.sending
}

// dequeue returns the next request to serve.
func (up *uploader) dequeue() (next pieceRequest, ok bool) {
	up.mu.Lock()
	defer up.mu.Unlock()
	if len(up.queue) == 0 {
		return pieceRequest{}, false
	}
	i := 0
	for k, queued := range up.queue {
		if queued.before(up.queue[i]) {
			i = k
		}
	}
	next = up.queue[i]
	up.queue = slices.Delete(up.queue, i, i+1)
	up.sending++
	return next, true
}

// startUpload starts an upload, and returns how long the request waited because of other boxes: time in which pieces were
// being sent to the same box is subtracted, since that delay is the box's own link.
func (up *uploader) startUpload(next pieceRequest) time.Duration {
	up.mu.Lock()
	defer up.mu.Unlock()
	now := clock.Now()
	waited := now.Sub(next.queuedAt) - (next.link.uploads.total(now) - next.uploadedBefore)
	next.link.uploads.start(now)
	return max(waited, 0)
}

// endUpload ends an upload, whether it succeeded or not.
func (up *uploader) endUpload(next pieceRequest) {
	up.mu.Lock()
	defer up.mu.Unlock()
	next.link.uploads.stop(clock.Now())
}

// uploadNext serves the next request, or waits for one; false once ctx has ended.
func (up *uploader) uploadNext(ctx context.Context) bool {
	next, ok := up.dequeue()
	if !ok {
		select {
		case <-ctx.Done():
			return false
		case <-up.wakeup:
			return true
		}
	}
	defer func() {
		up.mu.Lock()
		up.sending--
		up.mu.Unlock()
		up.wake()
	}()
	data := up.readPiece(ctx, next)
	if data == nil {
		next.link.send(&link.Decline{Manifest: next.key, Chunk: uint32(next.piece)})
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, uploadWait)
	defer cancel()
	waited := up.startUpload(next)
	defer up.endUpload(next)
	chunk := &link.Chunk{Manifest: next.key, Chunk: uint32(next.piece), Body: data, QueuedFor: waited}
	if next.link.conn.SendChunk(ctx, chunk) == nil {
		pieceBytesUploaded.Add(len(data))
	}
	return true
}

// readPiece returns a verified piece; if it is missing or corrupt it returns nil, and the piece is fetched again.
func (up *uploader) readPiece(ctx context.Context, next pieceRequest) []byte {
	b := up.box
	u := b.updateByKey(next.key)
	if u == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	data, err := b.readPiece(ctx, u, next.piece)
	if err == nil && u.manifest.Matches(next.piece, data) {
		return data
	}
	b.mu.Lock()
	u.feed.PieceLost(next.piece)
	b.mu.Unlock()
	b.wake()
	return nil
}
