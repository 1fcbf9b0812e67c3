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

// Origin is where published manifests and chunks are kept.
type Origin interface {
	Get(ctx context.Context, key string) ([]byte, error)
}

// Permits hands out permits to draw a chunk group from the origin.
type Permits interface {
	Take(ctx context.Context, manifest weights.Digest, group, first int) (ok bool, err error)
}

// Config is what a transfer works with.
type Config struct {
	Params  swarm.Params
	Store   *weights.Store
	Origin  Origin
	Permits Permits
}

const (
	tick          = 50 * time.Millisecond
	manifestRetry = time.Second
	// givesAtOnce is how many chunks a box gives at a time, each on another link.
	givesAtOnce = 4
	// maxWaiting is how many asks may wait at a box before it declines.
	maxWaiting = 16
)

// Transfer is one box's part in the spread of its fleet's weights.
type Transfer struct {
	cfg     Config
	gives   chan struct{}
	wake    chan struct{}
	waiting atomic.Int64

	mu        sync.Mutex
	members   []swarm.Member
	peers     map[string]*Peer
	manifests map[weights.Digest]weights.Manifest
	current   *run
	changed   chan struct{}
	progress  link.RolloutProgress
	wasted    int64
	// given counts the chunks given since the target was set.
	given int
}

// New returns a transfer that has no target yet.
func New(cfg Config) *Transfer {
	return &Transfer{
		cfg:       cfg,
		gives:     make(chan struct{}, givesAtOnce),
		wake:      make(chan struct{}, 1),
		peers:     make(map[string]*Peer),
		manifests: make(map[weights.Digest]weights.Manifest),
		changed:   make(chan struct{}),
	}
}

// Changed returns a channel that is closed when a target is next complete or has failed.
func (t *Transfer) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Complete returns the manifest of the target once all of it is held and verified.
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

// Progress returns the counts of the transfer so far.
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

// Serve decides and acts until ctx ends.
func (t *Transfer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.stop()
			return ctx.Err()
		case <-ticker.C:
			t.flush()
		case <-t.wake:
		}
		t.step()
	}
}

// SetMembers takes the boxes that take part.
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

// SetPrefer takes what the fleet prefers.
func (t *Transfer) SetPrefer(prefer fleet.Preference) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Params.Prefer = prefer
	if t.current != nil && t.current.node != nil {
		t.current.node.SetPrefer(prefer)
	}
}

// SetTarget makes a manifest the target: transfers of any other stop at once, chunks shared with it are kept.
// The chunks of keep, the version being served, are held as well while both fit into memory.
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
	r := &run{target: target, keep: keep, ctx: ctx, cancel: cancel, permits: make(map[int]bool), drawn: make(map[int]bool)}
	t.current = r
	go t.open(r)
}

// Wanted returns the boxes to which the transfer needs links now.
func (t *Transfer) Wanted() []swarm.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted := swarm.Neighbours(t.cfg.Params.Self, t.members)
	if t.current != nil && t.current.node != nil && !t.current.node.Complete() {
		wanted = append(wanted, t.current.node.CrossLinks(time.Now())...)
	}
	return wanted
}

// Wasted returns the bytes of chunks that came but were not needed.
func (t *Transfer) Wasted() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wasted
}

// announce tells all waiters that a target is complete or has failed; mu is held.
func (t *Transfer) announce() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// open fetches the manifest of a run's target, as often as it takes, and starts the run.
func (t *Transfer) open(r *run) {
	for {
		manifest, err := t.fetchManifest(r)
		if err == nil {
			t.begin(r, manifest)
			return
		}
		log.WithError(err).WithField("manifest", r.target.String()).Warn("transfer: manifest not fetched")
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(manifestRetry):
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

// begin starts the chunks of a run, if it is still the current one.
func (t *Transfer) begin(r *run, manifest weights.Manifest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current != r {
		return
	}
	t.manifests[r.target] = manifest
	t.makeRoom(r, manifest)
	if err := t.cfg.Store.Fits(manifest); err != nil {
		r.err = err
		t.announce()
		return
	}
	r.start(manifest, t.cfg, t.members)
	t.progress = link.RolloutProgress{}
	t.given = 0
	for _, p := range t.peers {
		p.join(r)
	}
	t.finish(r)
	t.wakeUp()
}

// makeRoom drops the chunks that neither the target nor the version being served needs; when both do not fit,
// those of the served version go too, since its upstream has its own copy.
func (t *Transfer) makeRoom(r *run, manifest weights.Manifest) {
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

// finish verifies the whole once all chunks are held; mu is held.
func (t *Transfer) finish(r *run) {
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
		t.announce()
	}()
}

// flush tells the neighbours of chunks that came since the last time.
func (t *Transfer) flush() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.node == nil {
		return
	}
	waiting := int(t.waiting.Load())
	for _, p := range t.peers {
		p.tell(t.current.target.Short(), waiting, t.given)
	}
}

// step starts what the node decides to do now.
func (t *Transfer) step() {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.current
	if r == nil || r.node == nil {
		return
	}
	for _, action := range r.node.Next(time.Now()) {
		if action.Draw {
			go t.draw(r, action)
			continue
		}
		p := t.peers[action.Peer]
		if p == nil || !p.enqueue(&link.Want{Manifest: r.target.Short(), Chunk: uint32(action.Chunk)}) {
			r.node.Failed(action.Chunk, action.Peer, swarm.FaultDeclined, time.Now())
		}
	}
}

func (t *Transfer) stop() {
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
