package transfer

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"go.opentelemetry.io/otel/attribute"

	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/tracing"
	"github.com/coralstair/coralstair/weights"
)

// run is the transfer of one target; once started, its fields are guarded by the transfer's mutex.
type run struct {
	target   weights.Digest
	keep     weights.Digest
	ctx      context.Context
	cancel   context.CancelFunc
	manifest weights.Manifest
	order    *swarm.Order
	node     *swarm.Node
	indices  map[weights.Digest][]int

	permits    map[int]bool
	permitUsed map[int]bool
	verifying  bool
	verified   bool
	err        error
}

// start creates the order and the node, given the chunks that are already stored.
func (r *run) start(manifest weights.Manifest, cfg Config, members []swarm.Member) {
	r.manifest = manifest
	r.indices = make(map[weights.Digest][]int, len(manifest.Chunks))
	for i, digest := range manifest.Chunks {
		r.indices[digest] = append(r.indices[digest], i)
	}
	missing := make(map[int]bool)
	for _, i := range cfg.Store.Missing(manifest) {
		missing[i] = true
	}
	var have []int
	for i := range manifest.Chunks {
		if !missing[i] {
			have = append(have, i)
		}
	}
	r.order = swarm.NewOrder(r.target.Hex(), len(manifest.Chunks), members)
	r.node = swarm.NewNode(cfg.Params, r.order, have, time.Now())
}

func (r *run) reorder(members []swarm.Member) {
	r.order = swarm.NewOrder(r.target.Hex(), len(r.manifest.Chunks), members)
	r.node.Reorder(r.order)
}

// held returns the indices of the chunks held.
func (r *run) held() []uint32 {
	var held []uint32
	for i := range r.manifest.Chunks {
		if r.node.Holds(i) {
			held = append(held, uint32(i))
		}
	}
	return held
}

// download gets one chunk from the origin under a permit for its group.
func (t *Transfer) download(r *run, action swarm.Action) {
	if !t.acquirePermit(r, action) {
		t.mu.Lock()
		r.node.DownloadFailed(action.Chunk, time.Now())
		t.mu.Unlock()
		return
	}
	ctx, span := tracing.Start(r.ctx, "draw", attribute.Int("chunk", action.Chunk))
	defer span.End()
	data, err := t.cfg.Origin.Get(ctx, weights.ChunkKey(r.manifest.Chunks[action.Chunk]))
	if err == nil {
		t.mu.Lock()
		t.progress.OriginBytes += int64(len(data))
		t.mu.Unlock()
		err = t.acceptChunk(r, action.Chunk, "", data)
	}
	if err == nil || r.ctx.Err() != nil {
		return
	}
	log.WithError(err).WithField("chunk", action.Chunk).Warn("transfer: download from the origin failed")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress.Rejected += corruptCount(err)
	r.node.DownloadFailed(action.Chunk, time.Now())
}

// acquirePermit reports whether this box may download the chunk, and acquires a permit for its group unless one that it holds
// covers the chunk; a permit covers each chunk once. While the table is unreachable, rank replaces the permit: as many boxes
// may download a chunk as there are permits, lowest ranks first.
func (t *Transfer) acquirePermit(r *run, action swarm.Action) bool {
	t.mu.Lock()
	group := r.order.Group(action.Chunk)
	held := r.permits[group] && !r.permitUsed[action.Chunk]
	if held {
		r.permitUsed[action.Chunk] = true
	}
	t.mu.Unlock()
	if held {
		return true
	}
	ok, err := t.cfg.Permits.Acquire(r.ctx, r.target, group, action.Rank%swarm.MaxPermits)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		ok = action.Rank < swarm.MaxPermits && !r.permitUsed[action.Chunk]
	}
	if !ok {
		return false
	}
	r.permits[group] = true
	r.permitUsed[action.Chunk] = true
	return true
}

// acceptChunk verifies and stores a received chunk; from is empty for the origin.
func (t *Transfer) acceptChunk(r *run, chunk int, from string, data []byte) error {
	digest := r.manifest.Chunks[chunk]
	if err := t.cfg.Store.Put(digest, data); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != r {
		return nil
	}
	isNew := false
	for _, i := range r.indices[digest] {
		if r.node.Received(i, from, time.Now()) {
			isNew = true
			t.queueAnnouncement(r, uint32(i))
		}
	}
	if !isNew {
		t.discarded += int64(len(data))
	}
	if from != "" {
		t.progress.PeerBytes += int64(len(data))
		if p := t.peers[from]; p != nil && p.member.Site != t.cfg.Params.Self.Site {
			t.progress.CrossBytes += int64(len(data))
		}
	}
	t.verifyIfComplete(r)
	t.wakeUp()
	return nil
}

// queueAnnouncement queues the announcement of a new chunk to all peers not known to hold it; mu is held.
func (t *Transfer) queueAnnouncement(r *run, chunk uint32) {
	for id, p := range t.peers {
		if !r.node.PeerHolds(id, int(chunk)) {
			p.unannounced = append(p.unannounced, chunk)
		}
	}
}

// corruptCount returns 1 if the error is a digest mismatch, else 0.
func corruptCount(err error) int {
	var mismatch *weights.MismatchError
	if errors.As(err, &mismatch) {
		return 1
	}
	return 0
}
