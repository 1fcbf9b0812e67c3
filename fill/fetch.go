package fill

import (
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/swarm"
)

const (
	// manifestWait is how long a box that is not the first of its site waits for the manifest of a neighbour.
	manifestWait = 500 * time.Millisecond
	// newestPause is how long after asking for the newest version it is asked for again.
	newestPause = time.Second
)

// askNewest asks the origin which version is the newest, when nobody has named one and the server runs none.
func (b *Box) askNewest(ctx context.Context, model string) {
	origin := b.origin()
	b.mu.Lock()
	due := len(b.state.Loaded) == 0 && !b.stateAt.IsZero() && origin != nil && clock.Since(b.newestAsked) > newestPause
	if due {
		b.newestAsked = clock.Now()
	}
	b.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, originTime)
	defer cancel()
	m, err := b.cfg.Origin.Manifest(ctx, origin.Origin, model, 0)
	if err != nil {
		b.log.WithField("cause", err.Error()).Warn("fill: the newest version is not known")
		return
	}
	b.cfg.View.OfferTarget(contract.Target{Model: model, Version: m.Version}, 0)
}

// haveManifest makes sure of the version's manifest: from a neighbour, or from the origin when this box is the first of
// its site or none came in time.
func (b *Box) haveManifest(f *filling) bool {
	b.mu.Lock()
	have, asking := f.manifest != nil, f.asking
	b.mu.Unlock()
	if have {
		return true
	}
	members := b.siblings()
	homes := swarm.NewOrder(f.model, 1, members).Homes(0)
	b.links.want(f.ctx, append(b.sitePeers(homes), swarm.Neighbours(b.self(), members)...))
	b.links.rejoin(f)
	wait := manifestWait
	if slices.Contains(homes, b.self()) {
		wait = 0
	}
	origin := b.origin()
	if asking || clock.Since(f.began) < wait || origin == nil {
		return false
	}
	b.mu.Lock()
	f.asking = true
	b.mu.Unlock()
	go b.drawManifest(f, origin.Origin)
	return false
}

// drawManifest fetches the manifest from the origin at an address.
func (b *Box) drawManifest(f *filling, address string) {
	ctx, cancel := context.WithTimeout(f.ctx, originTime)
	defer cancel()
	m, err := b.cfg.Origin.Manifest(ctx, address, f.model, f.version)
	if err != nil {
		b.log.WithField("cause", err.Error()).Warn("fill: no manifest from the origin")
		time.Sleep(orderPause)
	}
	b.mu.Lock()
	f.asking = false
	b.mu.Unlock()
	if err == nil {
		b.takeManifest(m, "origin")
	}
	b.wake()
}

// takeManifest takes the manifest of the version aimed at, and finds out which of its pieces the server holds.
func (b *Box) takeManifest(m *Manifest, from string) {
	b.mu.Lock()
	f := b.fill
	if f == nil || f.model != m.Model || f.version != m.Version || f.manifest != nil {
		b.mu.Unlock()
		return
	}
	f.manifest, f.key = m, m.Key()
	b.mu.Unlock()
	began := clock.Now()
	have := b.heldPieces(f.ctx, m)
	members := b.siblings()
	b.mu.Lock()
	f.feed = swarm.NewFeed(b.feedParams(m), b.self(), b.orderOf(f, members), have, clock.Now())
	b.mu.Unlock()
	b.log.WithFields(log.Fields{
		"model": m.Model, "version": int64(m.Version), "from": from, "held": len(have), "pieces": len(m.Digests),
		"read_ms": clock.Since(began).Milliseconds(),
	}).Info("fill: manifest taken")
	b.links.begin(f)
	b.wake()
}

// feedParams returns the times of a feed: how fast the origin hands out pieces follows from its link.
func (b *Box) feedParams(m *Manifest) swarm.FeedParams {
	var params swarm.FeedParams
	if origin := b.origin(); origin != nil && origin.LinkRate > 0 {
		params.DrawEvery = time.Duration(float64(m.PieceBytes) / origin.LinkRate * float64(time.Second))
	}
	return params
}

// heldPieces reads back what the server holds and returns the pieces that fit a manifest.
func (b *Box) heldPieces(ctx context.Context, m *Manifest) []int {
	ctx, cancel := context.WithTimeout(ctx, originTime)
	defer cancel()
	held, err := b.cfg.Engine.Held(ctx, m.Model)
	if err != nil {
		return nil
	}
	var have []int
	for _, piece := range held {
		data, err := b.cfg.Engine.Staged(ctx, m.Model, piece)
		if err == nil && m.Fits(piece, data) {
			have = append(have, piece)
		}
	}
	return have
}
