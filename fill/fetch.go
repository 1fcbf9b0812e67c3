package fill

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/swarm"
)

const (
	// neighbourManifestWait is how long a box waits for a neighbour's manifest before it asks the origin; the first box of a
	// site does not wait.
	neighbourManifestWait = 500 * time.Millisecond
	// newestInterval is the minimum time between requests for the newest version.
	newestInterval = time.Second
)

// fetchNewestVersion asks the origin for the newest version when none has been named and the server runs none.
func (b *Box) fetchNewestVersion(ctx context.Context, model string) {
	origin := b.origin()
	b.mu.Lock()
	due := len(b.state.Loaded) == 0 && !b.stateAt.IsZero() && origin != nil && clock.Since(b.newestAskedAt) > newestInterval
	if due {
		b.newestAskedAt = clock.Now()
	}
	b.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	m, err := b.cfg.Origin.Manifest(ctx, origin.Origin, model, 0)
	if err != nil {
		b.log.WithField("cause", err.Error()).Warn("fill: the newest version is not known")
		return
	}
	b.cfg.View.ObserveTarget(discovery.ObservedTarget{Target: contract.Target{Model: model, Version: m.Version}})
}

// ensureManifest gets the version's manifest from a neighbour, or from the origin if this box is the first of its site or
// no neighbour sent it in time. It reports whether the manifest is known already.
func (b *Box) ensureManifest(u *update) bool {
	b.mu.Lock()
	known, downloading := u.manifest != nil, u.downloadingManifest
	b.mu.Unlock()
	if known {
		return true
	}
	members := b.siblings()
	gateways := swarm.NewOrder(u.model, 1, members).Gateways(0)
	b.links.ensureLinks(u.ctx, append(b.sitePeers(gateways), swarm.Neighbours(b.self(), members)...))
	b.links.rejoin(u)
	wait := neighbourManifestWait
	if slices.Contains(gateways, b.self()) {
		wait = 0
	}
	origin := b.origin()
	if downloading || clock.Since(u.startedAt) < wait || origin == nil {
		return false
	}
	b.mu.Lock()
	u.downloadingManifest = true
	b.mu.Unlock()
	go b.downloadManifest(u, origin.Origin)
	return false
}

func (b *Box) downloadManifest(u *update, address string) {
	ctx, cancel := context.WithTimeout(u.ctx, originTimeout)
	defer cancel()
	m, err := b.cfg.Origin.Manifest(ctx, address, u.model, u.version)
	if err != nil {
		b.log.WithField("cause", err.Error()).Warn("fill: no manifest from the origin")
		time.Sleep(orderRetryDelay)
	}
	b.mu.Lock()
	u.downloadingManifest = false
	b.mu.Unlock()
	if err == nil {
		b.takeManifest(m, "origin")
	}
	b.wake()
}

// takeManifest sets the manifest of the active update and finds out which of its pieces the server holds.
func (b *Box) takeManifest(m *Manifest, from string) {
	b.mu.Lock()
	u := b.active
	if u == nil || u.model != m.Model || u.version != m.Version || u.manifest != nil {
		b.mu.Unlock()
		return
	}
	u.manifest, u.key = m, m.Key()
	b.mu.Unlock()
	began := clock.Now()
	have := b.verifiedPieces(u.ctx, m)
	members := b.siblings()
	b.mu.Lock()
	u.feed = swarm.NewFeed(b.feedParams(m), b.self(), b.assignPieces(u, members), have, clock.Now())
	b.mu.Unlock()
	b.log.WithFields(log.Fields{
		"model": m.Model, "version": int64(m.Version), "from": from, "held": len(have), "pieces": len(m.Digests),
		"read_ms": clock.Since(began).Milliseconds(),
	}).Info("fill: manifest taken")
	b.links.announceManifest(u)
	b.wake()
}

// feedParams returns the parameters of a feed; the origin's link rate sets the interval between its pieces.
func (b *Box) feedParams(m *Manifest) swarm.FeedParams {
	var params swarm.FeedParams
	if origin := b.origin(); origin != nil && origin.LinkRate > 0 {
		params.DownloadInterval = time.Duration(float64(m.PieceBytes) / origin.LinkRate * float64(time.Second))
	}
	return params
}

// verifiedPieces reads back the pieces that the server holds and returns those that match the manifest.
func (b *Box) verifiedPieces(ctx context.Context, m *Manifest) []int {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	held, err := b.cfg.Engine.StagedPieces(ctx, m.Model)
	if err != nil {
		return nil
	}
	var have []int
	for _, piece := range held {
		data, err := b.cfg.Engine.ReadPiece(ctx, m.Model, piece)
		if err == nil && m.Matches(piece, data) {
			have = append(have, piece)
		}
	}
	return have
}
