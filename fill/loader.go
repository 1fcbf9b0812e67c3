package fill

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
)

const (
	// closeTime is how long before its order a server is said to take nothing new, also when its turn has passed: what arrives
	// after the order, and what waits then, is refused (24 of 25 streams that were cut beside planned work, seven plays).
	closeTime = 120 * time.Millisecond
	// orderPause is how long after an order that was refused or not answered the next may be given.
	orderPause = 200 * time.Millisecond
	// freshCheck is how old the reading back of all pieces may be when the order is given.
	freshCheck = 150 * time.Millisecond
)

// followTurns loads versions when their turn comes, until ctx ends.
func (b *Box) followTurns(ctx context.Context) error {
	timer := time.NewTimer(followEvery)
	defer timer.Stop()
	for {
		b.loadPending(ctx)
		if f := b.current(); f != nil && b.runs(f.model) < f.version {
			b.stageMemory(f)
			b.load(ctx, f)
		}
		timer.Reset(b.restTime())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-b.aimed:
		}
	}
}

// loadPending loads an older version whose pieces were complete when a newer one was named: its turn comes first, and
// the server is then not as long behind.
func (b *Box) loadPending(ctx context.Context) {
	b.mu.Lock()
	p := b.pending
	// Pieces are fetched for the newest version only: one with a piece that turned bad would stand in its way for good.
	if p != nil && (b.state.Loaded[p.model] >= p.version || p.given || !p.feed.Complete()) {
		p.cancel()
		b.pending, p = nil, nil
		b.reopen()
	}
	b.mu.Unlock()
	if p != nil {
		b.load(ctx, p)
	}
}

// stageMemory lays the pieces held in memory at the server once its place is free.
func (b *Box) stageMemory(f *filling) {
	b.mu.Lock()
	if b.pending != nil || len(f.memory) == 0 {
		b.mu.Unlock()
		return
	}
	pieces := f.memory
	f.memory = nil
	b.mu.Unlock()
	for piece, data := range pieces {
		ctx, cancel := context.WithTimeout(f.ctx, stageTime)
		err := b.cfg.Engine.Stage(ctx, f.model, piece, data)
		cancel()
		if err != nil {
			b.mu.Lock()
			f.feed.Lost(piece)
			b.mu.Unlock()
		}
	}
}

// load gives the order to run the version once all pieces are held and it is this server's turn.
func (b *Box) load(ctx context.Context, f *filling) {
	b.mu.Lock()
	ready := f.feed != nil && f.feed.Complete() && len(f.memory) == 0 && !f.given && !b.state.Busy && clock.Since(f.ordered) > orderPause
	old := b.state.Loaded[f.model]
	b.mu.Unlock()
	if !ready {
		return
	}
	turn := clock.Now()
	if due, late := b.cfg.View.Due(f.model, old); old != 0 && late {
		turn = b.turn(f.named, due)
	}
	b.mu.Lock()
	b.closes = turn
	b.mu.Unlock()
	left := clock.Until(turn)
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
func (b *Box) turn(named, due time.Time) time.Time {
	var hosts []string
	for _, server := range b.cfg.View.Servers() {
		if host, _, err := net.SplitHostPort(server.Address); err == nil && server.Service == b.cfg.Machine.Service && !server.Leaving {
			hosts = append(hosts, host)
		}
	}
	rank, n := Rank(b.cfg.Machine.Address, hosts)
	return Turn(named, due, rank, n)
}

// close tells entries that the server takes nothing new; true once they have had time to hear it.
func (b *Box) close() bool {
	b.mu.Lock()
	was := b.closing
	if !was {
		b.closing, b.closedAt = true, clock.Now()
	}
	heard := clock.Since(b.closedAt) >= closeTime
	b.mu.Unlock()
	if !was {
		b.sendReport()
	}
	return heard
}

// reopen has entries hear of no turn until there is one again: a turn that is over, told on, would keep requests away from a
// server that has loaded (a tenth of a day's worth at 45 servers and two versions in succession). mu is held.
func (b *Box) reopen() {
	b.closing, b.closes = false, time.Time{}
}

// check reads all pieces back and makes sure that they still fit; those that do not are fetched again.
func (b *Box) check(ctx context.Context, f *filling) bool {
	if clock.Since(f.checked) < freshCheck {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, originTime)
	defer cancel()
	m := f.manifest
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
		b.reopen()
		b.mu.Unlock()
	}
	if bad > 0 {
		b.log.WithFields(log.Fields{"version": int64(f.version), "bad": bad}).Warn("fill: pieces turned bad and are fetched again")
		b.wake()
		return false
	}
	f.checked = clock.Now()
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
	f.ordered = clock.Now()
	b.mu.Unlock()
	err = b.cfg.Engine.Start(ctx, Order{Model: f.model, Version: f.version, Seq: state.Seq})
	ordersGiven.Inc()
	fields := log.Fields{
		"model": f.model, "version": int64(f.version), "seq": state.Seq, "running": state.Running, "waiting": state.Waiting,
		"ms": clock.Since(f.began).Milliseconds(), "cause": "",
	}
	if err != nil {
		ordersFailed.Inc()
		fields["cause"] = err.Error()
	}
	b.mu.Lock()
	f.given = err == nil
	b.closes = time.Time{}
	b.mu.Unlock()
	b.log.WithFields(fields).Info("fill: order to load")
	state, err = b.cfg.Engine.State(ctx)
	b.setState(state, err)
}
