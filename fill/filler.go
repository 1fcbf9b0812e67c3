package fill

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/swarm"
)

const (
	followEvery = 50 * time.Millisecond
	stateTime   = time.Second
	originTime  = 2 * time.Second
	stageTime   = time.Second
	// closeTime is how long before its order a server is said to take nothing new.
	closeTime = 120 * time.Millisecond
	// orderPause is how long after an order that was refused or not answered the next may be given.
	orderPause = 200 * time.Millisecond
	// manifestWait is how long a box that is not the first of its site waits for the manifest of a neighbour.
	manifestWait = 300 * time.Millisecond
	// freshCheck is how old the reading back of all pieces may be when the order is given.
	freshCheck = 150 * time.Millisecond
	// badManifest is how many drawn pieces in a row may not fit before the manifest itself is drawn again.
	badManifest = 3
)

// filling is the way of one version to this box; its fields are guarded by the box's mutex.
type filling struct {
	model    string
	version  contract.Version
	began    time.Time
	manifest *Manifest
	key      uint64
	feed     *swarm.Feed
	members  []swarm.Member
	asking   bool
	misfits  int
	complete time.Time
	checked  time.Time
	ordered  time.Time
	ctx      context.Context
	cancel   context.CancelFunc
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
	if !ok {
		return
	}
	target, named := b.cfg.View.Target(model)
	if target == 0 {
		return
	}
	f := b.aim(ctx, model, target)
	if b.runs(model) >= target {
		b.settle(f)
		return
	}
	if !b.haveManifest(f) {
		return
	}
	b.spread(f)
	b.load(ctx, f, named)
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
	if b.fill != nil && b.fill.model == model && b.fill.version == target {
		return b.fill
	}
	if b.fill != nil {
		b.fill.cancel()
	}
	f := &filling{model: model, version: target, began: time.Now()}
	f.ctx, f.cancel = context.WithCancel(ctx)
	b.fill = f
	b.closing = false
	b.log.WithFields(log.Fields{"model": model, "version": int64(target)}).Info("fill: a version is aimed at")
	return f
}

// settle ends the links to other boxes some time after the server runs what it should; it goes on to give pieces.
func (b *Box) settle(f *filling) {
	b.mu.Lock()
	b.closing = false
	done := f.manifest != nil
	b.mu.Unlock()
	if !done {
		b.haveManifest(f)
	}
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
	b.links.want(f.ctx, swarm.Neighbours(b.self(), members))
	wait := manifestWait
	if first := swarm.NewOrder(f.model, 1, members); len(first.Homes(0)) > 0 && first.Homes(0)[0].ID == b.self().ID {
		wait = 0
	}
	if asking || time.Since(f.began) < wait || b.origin() == "" {
		return false
	}
	b.mu.Lock()
	f.asking = true
	b.mu.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, originTime)
		defer cancel()
		m, err := b.cfg.Origin.Manifest(ctx, b.origin(), f.model, f.version)
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
	have := b.heldPieces(f.ctx, m)
	members := b.siblings()
	b.mu.Lock()
	f.members = members
	f.feed = swarm.NewFeed(swarm.FeedParams{}, b.self(), swarm.NewOrder(f.model, len(m.Digests), members), have, time.Now())
	b.mu.Unlock()
	b.log.WithFields(log.Fields{
		"model": m.Model, "version": int64(m.Version), "from": from, "held": len(have), "pieces": len(m.Digests),
	}).Info("fill: manifest taken")
	b.links.begin(f)
	b.wake()
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
		f.members = members
		f.feed.Reorder(swarm.NewOrder(f.model, len(f.manifest.Digests), members))
	}
	actions := f.feed.Next(time.Now())
	complete := f.feed.Complete()
	b.mu.Unlock()
	if !complete {
		b.links.want(f.ctx, members)
	}
	for _, action := range actions {
		if action.Draw {
			go b.draw(f, action.Chunk)
			continue
		}
		b.links.ask(f, action.Peer, action.Chunk)
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
	data, err := b.cfg.Origin.Piece(ctx, b.origin(), f.model, f.version, piece)
	if err == nil && b.take(f, piece, "", data) {
		piecesDrawn.Inc()
		return
	}
	if f.ctx.Err() != nil {
		return
	}
	b.log.WithField("piece", piece).WithField("cause", errorText(err)).Warn("fill: a piece was not drawn")
	time.Sleep(followEvery)
	b.mu.Lock()
	f.feed.DrawFailed(piece)
	if err == nil {
		b.misfit(f)
	}
	b.mu.Unlock()
	b.wake()
}

// misfit counts a drawn piece that does not fit; after several in a row the manifest itself is in doubt. mu is held.
func (b *Box) misfit(f *filling) {
	if f.misfits++; f.misfits < badManifest {
		return
	}
	f.misfits, f.manifest, f.feed = 0, nil, nil
	b.log.WithField("version", int64(f.version)).Warn("fill: the manifest is in doubt and drawn again")
}

func errorText(err error) string {
	if err == nil {
		return "it does not fit its digest"
	}
	return err.Error()
}

// take verifies a piece, stages it at the server and hands it to the boxes that wait for it; false when it does not fit.
func (b *Box) take(f *filling, piece int, from string, data []byte) bool {
	if !f.manifestOf().Fits(piece, data) {
		piecesBad.Inc()
		return false
	}
	b.mu.Lock()
	current := b.fill == f && f.feed != nil
	held := current && f.feed.Holds(piece)
	b.mu.Unlock()
	if held {
		piecesTwice.Inc()
	}
	if !current || held {
		return true
	}
	ctx, cancel := context.WithTimeout(f.ctx, stageTime)
	defer cancel()
	if err := b.cfg.Engine.Stage(ctx, f.model, piece, data); err != nil {
		if f.ctx.Err() == nil {
			b.log.WithField("piece", piece).WithField("cause", err.Error()).Warn("fill: a piece was not staged")
		}
		return false
	}
	b.mu.Lock()
	var others []string
	complete := false
	if f.feed != nil {
		others = f.feed.Got(piece, from, time.Now())
		complete = f.feed.Complete()
		f.misfits = 0
		if complete && f.complete.IsZero() {
			f.complete = time.Now()
		}
	}
	b.mu.Unlock()
	b.links.got(f, piece, data, others, complete)
	if complete {
		b.log.WithFields(log.Fields{
			"version": int64(f.version), "ms": time.Since(f.began).Milliseconds(),
			"site": piecesNear.Get(), "far": piecesFar.Get(), "drawn": piecesDrawn.Get(), "bad": piecesBad.Get(), "twice": piecesTwice.Get(),
		}).Info("fill: all pieces are held")
	}
	b.wake()
	return true
}

func (f *filling) manifestOf() *Manifest {
	if f.manifest == nil {
		return &Manifest{}
	}
	return f.manifest
}

// load gives the order to run the version once all pieces are held and it is this server's turn.
func (b *Box) load(ctx context.Context, f *filling, named time.Time) {
	b.mu.Lock()
	ready := f.feed != nil && f.feed.Complete() && !b.state.Busy && time.Since(f.ordered) > orderPause
	old := b.state.Loaded[f.model]
	b.mu.Unlock()
	if !ready {
		return
	}
	turn := time.Now()
	if due, late := b.cfg.View.Due(f.model, old); old != 0 && late {
		turn = b.turn(f, named, due)
	}
	left := time.Until(turn)
	if left > closeTime {
		return
	}
	if old != 0 && !b.close() {
		return
	}
	if left > 0 || !b.check(ctx, f) {
		return
	}
	b.order(ctx, f)
}

// turn returns when this server's turn to load comes.
func (b *Box) turn(f *filling, named, due time.Time) time.Time {
	var ids []string
	for _, server := range b.cfg.View.Servers() {
		if server.Service == b.cfg.Machine.Service && !server.Leaving {
			ids = append(ids, server.Address)
		}
	}
	rank, n := Rank(b.cfg.Machine.UpstreamAt, ids, f.version)
	return Turn(named, due, rank, n)
}

// close tells entries that the server takes nothing new; true once they have had time to hear it.
func (b *Box) close() bool {
	b.mu.Lock()
	was := b.closing
	b.closing = true
	b.mu.Unlock()
	if !was {
		b.sendReport()
	}
	return was
}

// check reads all pieces back and makes sure that they still fit; those that do not are fetched again.
func (b *Box) check(ctx context.Context, f *filling) bool {
	if time.Since(f.checked) < freshCheck {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, originTime)
	defer cancel()
	m := f.manifestOf()
	bad := 0
	for piece := range m.Digests {
		data, err := b.cfg.Engine.Staged(ctx, f.model, piece)
		if err == nil && m.Fits(piece, data) {
			continue
		}
		if err != nil && !errors.As(err, new(*NotHeldError)) {
			return false
		}
		bad++
		b.mu.Lock()
		if f.feed != nil {
			f.feed.Lost(piece)
		}
		b.closing = false
		b.mu.Unlock()
	}
	if bad > 0 {
		b.log.WithFields(log.Fields{"version": int64(f.version), "bad": bad}).Warn("fill: pieces turned bad and are fetched again")
		b.wake()
		return false
	}
	f.checked = time.Now()
	return true
}

// order gives the order to load; an order whose answer is lost is settled by the server's next state.
func (b *Box) order(ctx context.Context, f *filling) {
	ctx, cancel := context.WithTimeout(ctx, stateTime)
	defer cancel()
	state, err := b.cfg.Engine.State(ctx)
	if err != nil || state.Busy || state.Loaded[f.model] >= f.version {
		b.setState(state, err)
		return
	}
	b.mu.Lock()
	f.ordered = time.Now()
	b.mu.Unlock()
	err = b.cfg.Engine.Start(ctx, Order{Model: f.model, Version: f.version, Seq: state.Seq})
	ordersGiven.Inc()
	fields := log.Fields{
		"model": f.model, "version": int64(f.version), "seq": state.Seq, "running": state.Running, "waiting": state.Waiting,
		"ms": time.Since(f.began).Milliseconds(), "cause": "",
	}
	if err != nil {
		ordersFailed.Inc()
		fields["cause"] = err.Error()
	}
	b.log.WithFields(fields).Info("fill: order to load")
	state, err = b.cfg.Engine.State(ctx)
	b.setState(state, err)
}
