package transfer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/weights"
)

// Origin stores the published manifests and chunks.
type Origin interface {
	Get(ctx context.Context, key string) ([]byte, error)
}

// Permits grants permits to download a chunk group from the origin. Acquire tries the permit numbered first before the others;
// ok is false if none is free.
type Permits interface {
	Acquire(ctx context.Context, manifest weights.Digest, group, first int) (ok bool, err error)
}

// Config holds a transfer's settings and the services that it uses.
type Config struct {
	Params  swarm.Params
	Store   *weights.Store
	Origin  Origin
	Permits Permits
}

const (
	stepInterval       = 50 * time.Millisecond
	manifestRetryDelay = time.Second
	// maxUploads is how many chunks a box sends at a time, each on another link.
	maxUploads = 4
	// maxQueuedRequests is how many chunk requests may be queued at a box before it declines.
	maxQueuedRequests = 16
)

// Transfer is one box's part in distributing its fleet's weights.
type Transfer struct {
	cfg            Config
	uploadSlots    chan struct{}
	wake           chan struct{}
	queuedRequests atomic.Int64

	mu        sync.Mutex
	members   []swarm.Member
	peers     map[string]*Peer
	manifests map[weights.Digest]weights.Manifest
	current   *run
	changed   chan struct{}
	progress  link.RolloutProgress
	discarded int64
	// sent counts the chunks sent since the target was set.
	sent int
}

// New returns a transfer that has no target yet.
func New(cfg Config) *Transfer {
	return &Transfer{
		cfg:         cfg,
		uploadSlots: make(chan struct{}, maxUploads),
		wake:        make(chan struct{}, 1),
		peers:       make(map[string]*Peer),
		manifests:   make(map[weights.Digest]weights.Manifest),
		changed:     make(chan struct{}),
	}
}

// Done returns a channel that is closed when a target is next complete or has failed.
func (t *Transfer) Done() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Complete returns the manifest of the target; ok is true once all of it is held and verified.
// The error says why the target can never be complete.
func (t *Transfer) Complete(target weights.Digest) (manifest weights.Manifest, ok bool, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.target != target {
		return weights.Manifest{}, false, nil
	}
	return t.current.manifest, t.current.verified, t.current.err
}

// Manifest returns a manifest that this box knows.
func (t *Transfer) Manifest(digest weights.Digest) (weights.Manifest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	manifest, ok := t.manifests[digest]
	return manifest, ok
}

// Progress returns the transfer's counters.
func (t *Transfer) Progress() link.RolloutProgress {
	t.mu.Lock()
	defer t.mu.Unlock()
	progress := t.progress
	if t.current != nil && t.current.node != nil {
		progress.Have = t.current.node.Have()
		progress.Chunks = len(t.current.manifest.Chunks)
	}
	return progress
}

// Serve runs the transfer until ctx ends.
func (t *Transfer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.cancelRun()
			return ctx.Err()
		case <-ticker.C:
			t.announceChunks()
		case <-t.wake:
		}
		t.step()
	}
}

// SetMembers sets the boxes that take part.
func (t *Transfer) SetMembers(members []swarm.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(members, t.members) {
		return
	}
	t.members = members
	if t.current != nil && t.current.node != nil {
		t.current.reorder(members)
	}
	t.wakeUp()
}

// SetPrefer sets whether the fleet prefers a short rollout or few bytes from the origin.
func (t *Transfer) SetPrefer(prefer fleet.Preference) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Params.Prefer = prefer
	if t.current != nil && t.current.node != nil {
		t.current.node.SetPrefer(prefer)
	}
}

// SetTarget starts the transfer of a manifest and stops any other; chunks that both share are kept.
// The chunks of keep, the version being served, are kept too while both fit into memory.
func (t *Transfer) SetTarget(target, keep weights.Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil && t.current.target == target {
		return
	}
	if t.current != nil {
		t.current.cancel()
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{target: target, keep: keep, ctx: ctx, cancel: cancel, permits: make(map[int]bool), permitUsed: make(map[int]bool)}
	t.current = r
	go t.fetchAndStart(r)
}

// Wanted returns the boxes to which the transfer needs links now.
func (t *Transfer) Wanted() []swarm.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := swarm.Neighbours(t.cfg.Params.Self, t.members)
	if t.current != nil && t.current.node != nil && !t.current.node.Complete() {
		wanted = append(wanted, t.current.node.CrossSitePeers(time.Now())...)
	}
	return wanted
}

// DiscardedBytes returns the bytes of received chunks that were not needed.
func (t *Transfer) DiscardedBytes() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.discarded
}

// notifyChanged wakes all waiters once a target is complete or has failed; mu is held.
func (t *Transfer) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// fetchAndStart fetches the manifest of a run's target, with retries, and starts the run.
func (t *Transfer) fetchAndStart(r *run) {
	for {
		manifest, err := t.fetchManifest(r)
		if err == nil {
			t.startRun(r, manifest)
			return
		}
		log.WithError(err).WithField("manifest", r.target.String()).Warn("transfer: manifest not fetched")
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(manifestRetryDelay):
		}
	}
}

func (t *Transfer) fetchManifest(r *run) (weights.Manifest, error) {
	if manifest, ok := t.Manifest(r.target); ok {
		return manifest, nil
	}
	body, err := t.cfg.Origin.Get(r.ctx, weights.ManifestKey(r.target))
	if err != nil {
		return weights.Manifest{}, err
	}
	return weights.ParseManifest(body, r.target)
}

// startRun starts the transfer of a run's chunks if the run is still the current one.
func (t *Transfer) startRun(r *run, manifest weights.Manifest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != r {
		return
	}
	t.manifests[r.target] = manifest
	t.freeSpace(r, manifest)
	if err := t.cfg.Store.Fits(manifest); err != nil {
		r.err = err
		t.notifyChanged()
		return
	}
	r.start(manifest, t.cfg, t.members)
	t.progress = link.RolloutProgress{}
	t.sent = 0
	for _, p := range t.peers {
		p.announceAll(r)
	}
	t.verifyIfComplete(r)
	t.wakeUp()
}

// freeSpace drops chunks that neither the target nor the served version needs. If both do not fit, the served version's
// chunks are dropped too, since its upstream has its own copy.
func (t *Transfer) freeSpace(r *run, manifest weights.Manifest) {
	kept := []weights.Manifest{manifest}
	if served, ok := t.manifests[r.keep]; ok {
		kept = append(kept, served)
	}
	t.cfg.Store.Retain(kept...)
	if t.cfg.Store.Fits(manifest) != nil {
		t.cfg.Store.Retain(manifest)
		kept = kept[:1]
	}
	for digest := range t.manifests {
		if digest != r.target && (digest != r.keep || len(kept) == 1) {
			delete(t.manifests, digest)
		}
	}
}

// verifyIfComplete verifies the whole weights once all chunks are held; mu is held.
func (t *Transfer) verifyIfComplete(r *run) {
	if r.verified || r.verifying || r.node == nil || !r.node.Complete() {
		return
	}
	r.verifying = true
	go func() {
		err := t.cfg.Store.Verify(r.manifest)
		t.mu.Lock()
		defer t.mu.Unlock()
		r.err = err
		r.verified = err == nil
		t.notifyChanged()
	}()
}

// announceChunks announces to peers the chunks that arrived since the last call.
func (t *Transfer) announceChunks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.node == nil {
		return
	}
	queued := int(t.queuedRequests.Load())
	for _, p := range t.peers {
		p.announceNew(t.current.target.Short(), queued, t.sent)
	}
}

// step starts the actions that the node chooses now.
func (t *Transfer) step() {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.current
	if r == nil || r.node == nil {
		return
	}
	for _, action := range r.node.Next(time.Now()) {
		if action.Download {
			go t.download(r, action)
			continue
		}
		p := t.peers[action.Peer]
		if p == nil || !p.enqueue(&link.Want{Manifest: r.target.Short(), Chunk: uint32(action.Chunk)}) {
			r.node.RequestFailed(action.Chunk, action.Peer, swarm.FaultDeclined, time.Now())
		}
	}
}

func (t *Transfer) cancelRun() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != nil {
		t.current.cancel()
	}
}

func (t *Transfer) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
