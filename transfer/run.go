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

// run is the transfer of one target; its fields are guarded by the transfer's mutex once it has started.
type run struct {
	target   weights.Digest
	keep     weights.Digest
	ctx      context.Context
	cancel   context.CancelFunc
	manifest weights.Manifest
	order    *swarm.Order
	node     *swarm.Node
	indices  map[weights.Digest][]int

	permits   map[int]bool
	drawn     map[int]bool
	verifying bool
	verified  bool
	err       error
}

// start computes the order and the node from what the store holds already.
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

// draw fetches one chunk from the origin under a permit for its group.
func (t *Transfer) draw(r *run, action swarm.Action) {
	if !t.permitted(r, action) {
		t.mu.Lock()
		r.node.DrawFailed(action.Chunk, time.Now())
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
		err = t.take(r, action.Chunk, "", data)
	}
	if err == nil || r.ctx.Err() != nil {
		return
	}
	log.WithError(err).WithField("chunk", action.Chunk).Warn("transfer: draw failed")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress.Rejected += rejects(err)
	r.node.DrawFailed(action.Chunk, time.Now())
}

// permitted makes sure of a permit for the chunk's group. A permit covers each chunk once. While the table is
// out, rank stands in for it: the first ranks, which waited their turn, may draw as many times as there are permits.
func (t *Transfer) permitted(r *run, action swarm.Action) bool {
	t.mu.Lock()
	group := r.order.Group(action.Chunk)
	held := r.permits[group] && !r.drawn[action.Chunk]
	if held {
		r.drawn[action.Chunk] = true
	}
	t.mu.Unlock()
	if held {
		return true
	}
	ok, err := t.cfg.Permits.Take(r.ctx, r.target, group, action.Rank%swarm.MaxPermits)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		ok = action.Rank < swarm.MaxPermits && !r.drawn[action.Chunk]
	}
	if !ok {
		return false
	}
	r.permits[group] = true
	r.drawn[action.Chunk] = true
	return true
}

// take verifies a chunk that came and holds it; from is empty for the origin.
func (t *Transfer) take(r *run, chunk int, from string, data []byte) error {
	digest := r.manifest.Chunks[chunk]
	if err := t.cfg.Store.Put(digest, data); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != r {
		return nil
	}
	fresh := false
	for _, i := range r.indices[digest] {
		if r.node.Got(i, from, time.Now()) {
			fresh = true
			t.spread(r, uint32(i))
		}
	}
	if !fresh {
		t.wasted += int64(len(data))
	}
	if from != "" {
		t.progress.PeerBytes += int64(len(data))
		if p := t.peers[from]; p != nil && p.member.Site != t.cfg.Params.Self.Site {
			t.progress.CrossBytes += int64(len(data))
		}
	}
	t.finish(r)
	t.wakeUp()
	return nil
}

// spread notes a new chunk for all neighbours that are not known to hold it; mu is held.
func (t *Transfer) spread(r *run, chunk uint32) {
	for id, p := range t.peers {
		if !r.node.PeerHolds(id, int(chunk)) {
			p.fresh = append(p.fresh, chunk)
		}
	}
}

// rejects counts an error that is a failed digest.
func rejects(err error) int {
	var mismatch *weights.MismatchError
	if errors.As(err, &mismatch) {
		return 1
	}
	return 0
}
