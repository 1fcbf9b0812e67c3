package fill

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/swarm"
)

const (
	followEvery = 25 * time.Millisecond
	stateTime   = time.Second
	originTime  = 2 * time.Second
	stageTime   = time.Second
	// manifestWait is how long a box that is not the first of its site waits for the manifest of a neighbour.
	manifestWait = 500 * time.Millisecond
	// newestPause is how long after asking for the newest version it is asked for again.
	newestPause = time.Second
	// mostlyFilled is how long after it was named all of a version is drawn where the origin's rate is not known, finishTime
	// how long it may take to the end once a newer one was named.
	mostlyFilled = 2200 * time.Millisecond
	finishTime   = 4 * time.Second
	// opDial is how package net names the opening of a connection.
	opDial = "dial"
	// badManifest is how many drawn pieces in a row may not fit before the manifest itself is drawn again.
	badManifest = 3
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

// follow takes step after step towards the version that should run, until ctx ends.
func (b *Box) follow(ctx context.Context) error {
	ticker := time.NewTicker(followEvery)
	defer ticker.Stop()
	for {
		b.step(ctx)
		changed := b.cfg.View.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-changed:
		case <-b.woken:
		}
	}
}

func (b *Box) step(ctx context.Context) {
	model, _, ok := b.model()
	if !ok || !b.known() {
		return
	}
	target, _ := b.cfg.View.Target(model)
	if target == 0 {
		b.askNewest(ctx, model)
		return
	}
	f := b.aim(ctx, model, target)
	if b.runs(model) >= f.version {
		b.settle(f)
		return
	}
	if !b.haveManifest(f) {
		return
	}
	b.spread(f)
}

// known reports whether the server on this machine has told its state yet.
func (b *Box) known() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.stateAt.IsZero()
}

// mates returns the boxes of this site among some.
func (b *Box) mates(of []swarm.Member) []swarm.Member {
	return slices.DeleteFunc(slices.Clone(of), func(m swarm.Member) bool { return m.Site != b.cfg.Machine.Site })
}

// askNewest asks the origin which version is the newest, when nobody has named one and the server runs none.
func (b *Box) askNewest(ctx context.Context, model string) {
	origin := b.origin()
	b.mu.Lock()
	due := len(b.state.Loaded) == 0 && !b.stateAt.IsZero() && origin != nil && time.Since(b.newestAsked) > newestPause
	if due {
		b.newestAsked = time.Now()
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

// runs returns the version of a model that the server was last seen to run.
func (b *Box) runs(model string) contract.Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Loaded[model]
}

// aim makes a version the one to fill; a newer one takes the place of any on its way.
func (b *Box) aim(ctx context.Context, model string, target contract.Version) *filling {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fill != nil && b.fill.model == model && (b.fill.version == target || b.finishesFirst(b.fill, target)) {
		return b.fill
	}
	b.replace(model)
	f := &filling{model: model, version: target, began: time.Now()}
	_, f.named = b.cfg.View.Target(model)
	f.ctx, f.cancel = context.WithCancel(ctx)
	b.fill = f
	if b.pending == nil {
		b.closing = false
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
	return named.Sub(old.named) >= drawn && time.Since(named) < finishTime
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
	b.closing = false
	b.closes = time.Time{}
	f.given = false
	done := f.manifest != nil
	b.mu.Unlock()
	if !done {
		b.haveManifest(f)
	}
	b.links.rest()
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
	b.links.want(f.ctx, append(b.mates(homes), swarm.Neighbours(b.self(), members)...))
	b.links.rejoin(f)
	wait := manifestWait
	if slices.Contains(homes, b.self()) {
		wait = 0
	}
	origin := b.origin()
	if asking || time.Since(f.began) < wait || origin == nil {
		return false
	}
	b.mu.Lock()
	f.asking = true
	b.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, originTime)
		defer cancel()
		m, err := b.cfg.Origin.Manifest(ctx, origin.Origin, f.model, f.version)
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
	}()
	return false
}

func (b *Box) self() swarm.Member {
	return swarm.Member{ID: b.cfg.Machine.Address, Site: b.cfg.Machine.Site}
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
	began := time.Now()
	have := b.heldPieces(f.ctx, m)
	members := b.siblings()
	b.mu.Lock()
	order := swarm.NewOrder(f.model, len(m.Digests), members)
	f.members, f.partners = members, order.Partners(b.self())
	f.feed = swarm.NewFeed(b.feedParams(m), b.self(), order, have, time.Now())
	b.mu.Unlock()
	b.log.WithFields(log.Fields{
		"model": m.Model, "version": int64(m.Version), "from": from, "held": len(have), "pieces": len(m.Digests),
		"read_ms": time.Since(began).Milliseconds(),
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

// spread asks other boxes and the origin for what is missing.
func (b *Box) spread(f *filling) {
	members := b.siblings()
	b.mu.Lock()
	if f.feed == nil {
		b.mu.Unlock()
		return
	}
	if !equalMembers(members, f.members) {
		order := swarm.NewOrder(f.model, len(f.manifest.Digests), members)
		f.members, f.partners = members, order.Partners(b.self())
		f.feed.Reorder(order)
	}
	partners := f.partners
	actions := f.feed.Next(time.Now())
	complete := f.feed.Complete()
	b.mu.Unlock()
	if !complete {
		b.links.want(f.ctx, partners)
	}
	for _, action := range actions {
		switch {
		case action.Draw:
			go b.draw(f, action.Chunk)
		case action.Drop:
			b.links.drop(f, action.Peer, action.Chunk)
		default:
			b.links.ask(f, action.Peer, action.Chunk)
		}
	}
}

func equalMembers(a, b []swarm.Member) bool {
	if len(a) != len(b) {
		return false
	}
	known := make(map[swarm.Member]bool, len(a))
	for _, member := range a {
		known[member] = true
	}
	for _, member := range b {
		if !known[member] {
			return false
		}
	}
	return true
}

// draw fetches one piece from the origin.
func (b *Box) draw(f *filling, piece int) {
	ctx, cancel := context.WithTimeout(f.ctx, originTime)
	defer cancel()
	origin := b.origin()
	if origin == nil {
		b.mu.Lock()
		f.feed.DrawFailed(piece)
		b.mu.Unlock()
		return
	}
	data, err := b.cfg.Origin.Piece(ctx, origin.Origin, f.model, f.version, piece)
	if err == nil {
		err = b.take(f, piece, "", 0, data)
	}
	if err == nil {
		piecesDrawn.Inc()
		return
	}
	if f.ctx.Err() != nil {
		return
	}
	b.log.WithField("piece", piece).WithField("cause", err.Error()).Warn("fill: a piece was not drawn")
	if unreached(err) {
		b.mu.Lock()
		f.feed.DrawUnreached(piece, time.Now())
		b.mu.Unlock()
		return
	}
	time.Sleep(followEvery)
	b.mu.Lock()
	defer b.mu.Unlock()
	f.feed.DrawFailed(piece)
	if errors.As(err, new(*MisfitError)) {
		b.misfit(f)
	}
	b.wake()
}

// unreached reports whether the origin could not be asked at all.
func unreached(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == opDial
}

// misfit counts a drawn piece that does not fit; after several in a row the manifest itself is in doubt. mu is held.
func (b *Box) misfit(f *filling) {
	if f.misfits++; f.misfits < badManifest {
		return
	}
	f.cancel()
	if b.fill == f {
		b.fill = nil
	}
	b.log.WithField("version", int64(f.version)).Warn("fill: the manifest is in doubt and drawn again")
}

// take verifies a piece, keeps it and tells the boxes that wait for it; waited is how long it waited at its giver.
func (b *Box) take(f *filling, piece int, from string, waited time.Duration, data []byte) error {
	b.mu.Lock()
	m := f.manifest
	b.mu.Unlock()
	if m == nil || !m.Fits(piece, data) {
		piecesBad.Inc()
		return &MisfitError{Piece: piece}
	}
	if news, err := b.keep(f, piece, data); err != nil || !news {
		return err
	}
	b.mu.Lock()
	if f.feed == nil {
		b.mu.Unlock()
		return nil
	}
	asked := f.feed.Got(piece, from, waited, time.Now())
	complete, drawer := f.feed.Complete(), f.feed.Drawer(piece)
	f.misfits = 0
	b.mu.Unlock()
	b.links.got(f, piece, asked, complete, drawer || from == "")
	if complete {
		b.log.WithFields(log.Fields{
			"version": int64(f.version), "ms": time.Since(f.began).Milliseconds(),
			"site": piecesNear.Get(), "far": piecesFar.Get(), "drawn": piecesDrawn.Get(), "bad": piecesBad.Get(), "twice": piecesTwice.Get(),
		}).Info("fill: all pieces are held")
	}
	b.wake()
	return nil
}

// keep stages a piece at the server, or holds it in memory while the server's place for pieces is taken; news is false
// when the piece is held already.
func (b *Box) keep(f *filling, piece int, data []byte) (news bool, err error) {
	b.mu.Lock()
	current := b.fill == f && f.feed != nil
	if current && f.feed.Holds(piece) {
		piecesTwice.Inc()
		current = false
	}
	hold := b.pending != nil
	if current && hold {
		if f.memory == nil {
			f.memory = make(map[int][]byte)
		}
		f.memory[piece] = data
	}
	b.mu.Unlock()
	if !current || hold {
		return current, nil
	}
	ctx, cancel := context.WithTimeout(f.ctx, stageTime)
	defer cancel()
	if err := b.cfg.Engine.Stage(ctx, f.model, piece, data); err != nil {
		if f.ctx.Err() == nil {
			b.log.WithField("piece", piece).WithField("cause", err.Error()).Warn("fill: a piece was not staged")
		}
		return false, err
	}
	return true, nil
}

// staged returns a piece from memory or from the server.
func (b *Box) staged(ctx context.Context, f *filling, piece int) ([]byte, error) {
	b.mu.Lock()
	data := f.memory[piece]
	b.mu.Unlock()
	if data != nil {
		return data, nil
	}
	return b.cfg.Engine.Staged(ctx, f.model, piece)
}

func (f *filling) manifestOf() *Manifest {
	if f.manifest == nil {
		return &Manifest{}
	}
	return f.manifest
}
