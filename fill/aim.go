package fill

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/swarm"
)

const (
	// mostlyFilled is how long after it was named all of a version is drawn where the origin's rate is not known, finishTime
	// how long it may take to the end once a newer one was named.
	mostlyFilled = 2200 * time.Millisecond
	finishTime   = 4 * time.Second
)

// filling is the way of one version to this box; its fields are guarded by the box's mutex.
type filling struct {
	model    string
	version  contract.Version
	named    time.Time
	began    time.Time
	manifest *Manifest
	key      uint64
	feed     *swarm.Feed
	members  []swarm.Member
	partners []swarm.Member
	asking   bool
	misfits  int
	// memory holds pieces that came while the server's own place for pieces still held an older version to be loaded.
	memory  map[int][]byte
	checked time.Time
	ordered time.Time
	// given says that the server took the order.
	given  bool
	ctx    context.Context
	cancel context.CancelFunc
}

// aim makes a version the one to fill; a newer one takes the place of any on its way.
func (b *Box) aim(ctx context.Context, model string, target contract.Version) *filling {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fill != nil && b.fill.model == model && (b.fill.version == target || b.finishesFirst(b.fill, target)) {
		return b.fill
	}
	b.replace(model)
	f := &filling{model: model, version: target, began: clock.Now()}
	_, f.named = b.cfg.View.Target(model)
	f.ctx, f.cancel = context.WithCancel(ctx)
	b.fill = f
	if b.pending == nil {
		b.reopen()
	}
	select {
	case b.aimed <- struct{}{}:
	default:
	}
	b.log.WithFields(log.Fields{"model": model, "version": int64(target)}).Info("fill: a version is aimed at")
	return f
}

// finishesFirst reports whether an older version is filled to its end before a newer one is begun: it was named long
// enough before to be drawn whole by now. Should the origin fail, servers then have it to run on. All boxes decide alike, by
// the times at which the versions were named.
func (b *Box) finishesFirst(old *filling, target contract.Version) bool {
	newest, named := b.cfg.View.Target(old.model)
	if newest != target || old.named.IsZero() || old.feed == nil || old.feed.Complete() || b.state.Loaded[old.model] >= old.version {
		return false
	}
	drawn := b.feedParams(old.manifest).DrawnAfter(len(old.manifest.Digests))
	if drawn == 0 {
		drawn = mostlyFilled
	}
	return named.Sub(old.named) >= drawn && clock.Since(named) < finishTime
}

// replace ends the filling of the version that was aimed at before, unless its pieces are complete and only its turn has
// not come; mu is held.
func (b *Box) replace(model string) {
	old := b.fill
	if old == nil {
		return
	}
	waits := old.feed != nil && old.feed.Complete() && len(old.memory) == 0 && b.state.Loaded[model] < old.version &&
		b.state.Loaded[model] != 0 && !old.given
	if waits && b.pending == nil {
		b.pending = old
		return
	}
	old.cancel()
}

// settle ends the links to other boxes some time after the server runs what it should; it goes on to give pieces.
func (b *Box) settle(f *filling) {
	b.mu.Lock()
	b.reopen()
	f.given = false
	b.mu.Unlock()
	b.haveManifest(f)
	b.links.rest()
}
