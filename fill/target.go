package fill

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/swarm"
)

// defaultFetchTime is the assumed time to fetch a whole version when the origin's link rate is unknown.
const defaultFetchTime = 2200 * time.Millisecond

// update brings the server on this machine to one version of a model; its fields are guarded by the box's mutex.
type update struct {
	model               string
	version             contract.Version
	startedAt           time.Time
	manifest            *Manifest
	key                 uint64
	feed                *swarm.Feed
	members             []swarm.Member
	partners            []swarm.Member
	downloadingManifest bool
	corruptPieces       int
	// buffered holds pieces that were received while the update may not write to the server.
	buffered map[int][]byte
	// verifiedAt is when the last verification of all pieces began, at which the server had accepted verifiedSeq orders and
	// writtenAtVerification pieces had been written to it. verifiedServer is the id under which it was listed.
	verifiedAt            time.Time
	verifiedSeq           int64
	verifiedServer        string
	writtenAtVerification uint64
	orderedAt             time.Time
	// accepted says that the server accepted the load order.
	accepted bool
	// finishedBefore is the newer version for which it was last decided whether this one is finished first; kept to log that once.
	finishedBefore contract.Version
	ctx            context.Context
	cancel         context.CancelFunc
}

// setTarget starts the update to a version; it supersedes the active update unless that one is to finish first.
func (b *Box) setTarget(ctx context.Context, model string, target contract.Version) *update {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.active != nil && b.active.model == model && (b.active.version == target || b.finishOldFirst(b.active, target)) {
		return b.active
	}
	b.supersede(model)
	u := &update{model: model, version: target, startedAt: clock.Now()}
	u.ctx, u.cancel = context.WithCancel(ctx)
	b.active = u
	if b.pending == nil {
		b.clearTurn()
	}
	select {
	case b.targetChanged <- struct{}{}:
	default:
	}
	b.log.WithFields(log.Fields{"model": model, "version": int64(target)}).Info("fill: a version is aimed at")
	return u
}

// finishOldFirst reports whether an incomplete older version is finished before a newer one is started, and logs it when it is first
// decided and when the older one is given up. It depends mostly on what all boxes share, so that they agree; one that decides
// otherwise gets its pieces of either version. mu is held.
func (b *Box) finishOldFirst(old *update, target contract.Version) bool {
	newest, named := b.cfg.View.Target(old.model)
	if newest != target || b.cfg.View.NamedAt(old.model, old.version).IsZero() || old.feed == nil || old.feed.Complete() || b.state.Loaded[old.model] >= old.version {
		return false
	}
	now := clock.Now()
	finish := b.succession(old, named).finishOlder(now)
	if finish && old.finishedBefore != target || !finish {
		b.log.WithFields(log.Fields{
			"model": old.model, "version": int64(old.version), "newer": int64(target), "finished": finish, "unheld": old.feed.Unheld(),
			"held": old.feed.Have(),
		}).Info("fill: an older version is finished first or given up")
	}
	old.finishedBefore = target
	return finish
}

// succession returns what decides between an incomplete older version and one named at a time, which is taken to be as large; mu is held.
func (b *Box) succession(old *update, named time.Time) succession {
	params := b.feedParams(old.manifest)
	s := succession{
		olderNamed: b.cfg.View.NamedAt(old.model, old.version), newerNamed: named,
		olderRest: time.Duration(old.feed.Unheld()) * params.DownloadInterval, newerRest: params.DownloadTime(len(old.manifest.Digests)),
	}
	if s.newerRest == 0 {
		s.newerRest = defaultFetchTime
		s.olderRest = defaultFetchTime * time.Duration(old.feed.Unheld()) / time.Duration(len(old.manifest.Digests))
	}
	s.runsUntil, _ = b.cfg.View.VersionDeadline(old.model, old.version-1)
	s.olderUntil, _ = b.cfg.View.VersionDeadline(old.model, old.version)
	return s
}

// supersede cancels the active update, or makes it pending if only its load is outstanding; mu is held.
func (b *Box) supersede(model string) {
	old := b.active
	if old == nil {
		return
	}
	if b.pending == nil && old.isStaged() && b.state.Loaded[model] < old.version && !old.accepted {
		b.pending = old
		return
	}
	old.cancel()
}

// isStaged reports whether all pieces were written to the server; the box's mutex is held.
func (u *update) isStaged() bool { return u.feed != nil && u.feed.Complete() && len(u.buffered) == 0 }

// isCurrent reports whether an update has been neither superseded nor given up; mu is held.
func (b *Box) isCurrent(u *update) bool { return b.active == u || b.pending == u }

// isOutdated reports whether a version could not be used any more by the time it is loaded; mu is held.
func (b *Box) isOutdated(u *update) bool {
	deadline, ok := b.cfg.View.VersionDeadline(u.model, u.version)
	return ok && clock.Until(deadline) < usualLoadTime
}

// finishUpdate ends the turn of a server that runs the version, and closes idle links; it still ensures the manifest, since the
// box goes on uploading pieces.
func (b *Box) finishUpdate(u *update) {
	b.mu.Lock()
	b.clearTurn()
	u.accepted = false
	b.mu.Unlock()
	b.ensureManifest(u)
	b.links.closeIdle()
}
