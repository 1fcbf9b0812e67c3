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
	// drainNotice is how long before its load order entries are notified that the server drains, also when its turn has
	// passed: the server refuses requests that arrive after the order or are still queued then.
	// 24 of 25 streams that were cut beside planned work met that.
	drainNotice = 120 * time.Millisecond
	// pieceDecayTime is how long before a server takes an order one of its pieces may have turned bad.
	pieceDecayTime = 3 * time.Second
	// orderRetryDelay is the pause after an order that was refused or not answered.
	orderRetryDelay = 200 * time.Millisecond
)

// runLoads loads versions when their turn comes, until ctx ends.
func (b *Box) runLoads(ctx context.Context) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		b.loadPending(ctx)
		if u := b.current(); u != nil && b.loadedVersion(u.model) < u.version {
			b.writeBuffered(u)
			b.load(ctx, u)
		}
		timer.Reset(b.stepInterval())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-b.targetChanged:
		}
	}
}

// loadPending loads an older version that was complete when a newer one was named, so that the server falls less behind.
func (b *Box) loadPending(ctx context.Context) {
	b.mu.Lock()
	p := b.pending
	// Only the newest version's pieces are fetched: a pending version with a corrupt piece would never complete.
	if p != nil && (b.state.Loaded[p.model] >= p.version || p.accepted || !p.feed.Complete() || b.isOutdated(p)) {
		p.cancel()
		b.pending, p = nil, nil
		b.clearTurn()
	}
	b.mu.Unlock()
	if p != nil {
		b.load(ctx, p)
	}
}

// writeBuffered writes the buffered pieces while the update may write to the server.
func (b *Box) writeBuffered(u *update) {
	for {
		b.mu.Lock()
		piece, data, ok := u.nextBuffered()
		if !ok || !b.startWrite(u) {
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		err := b.writePiece(u, piece, data)
		b.mu.Lock()
		delete(u.buffered, piece)
		if err != nil {
			u.feed.PieceLost(piece)
		}
		b.mu.Unlock()
	}
}

// nextBuffered returns any buffered piece; the box's mutex is held.
func (u *update) nextBuffered() (piece int, data []byte, ok bool) {
	for piece, data := range u.buffered {
		return piece, data, true
	}
	return 0, nil, false
}

// load orders the server to run the version once all pieces are staged and the server's turn has come.
func (b *Box) load(ctx context.Context, u *update) {
	b.mu.Lock()
	ready := u.isStaged() && !u.accepted && !b.state.Busy && clock.Since(u.orderedAt) > orderRetryDelay
	old, outdatedID := b.state.Loaded[u.model], b.outdatedID
	b.mu.Unlock()
	if !ready {
		return
	}
	server := b.lastServerID()
	if server == "" || server == outdatedID {
		return
	}
	turn := clock.Now()
	if deadline, ok := b.cfg.View.VersionDeadline(u.model, old); old != 0 && ok {
		turn = b.loadTurn(b.cfg.View.NamedAt(u.model, u.version), deadline)
	}
	b.mu.Lock()
	b.loadAt = turn
	b.mu.Unlock()
	left := clock.Until(turn)
	if left > drainNotice {
		return
	}
	if old != 0 && !b.startDraining() {
		return
	}
	if left > 0 || !b.sealStaging(u) {
		return
	}
	ordered := b.prepareLoad(ctx, u, server)
	if ordered {
		b.orderLoad(ctx, u)
	}
	b.mu.Lock()
	b.staging.unseal()
	b.mu.Unlock()
	if ordered {
		_, _ = b.refreshState(ctx)
	}
}

// sealStaging keeps all staged pieces as they are until an update is ordered; it fails if the update is not to be ordered now.
func (b *Box) sealStaging(u *update) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isCurrent(u) && u.isStaged() && b.staging.seal(u)
}

// prepareLoad verifies that the server, which is listed under an id, can be ordered to load the version now. The pieces are verified last,
// since they may turn bad while a slow server is asked for its state.
func (b *Box) prepareLoad(ctx context.Context, u *update, server string) bool {
	state, err := b.refreshState(ctx)
	if err != nil || state.Busy || state.Loaded[u.model] >= u.version || !b.verifyStaged(ctx, u) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	u.verifiedSeq, u.verifiedServer = state.Seq, server
	// Meanwhile the update may have been given up, a piece found bad, or the server found restarted.
	return b.isCurrent(u) && u.isStaged() && !state.isRestart(b.state)
}

// refreshState reads the server's state.
func (b *Box) refreshState(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	state, err := b.cfg.Engine.State(ctx)
	b.setState(state, err)
	return state, err
}

// loadTurn returns when this server's turn to load comes.
func (b *Box) loadTurn(named, deadline time.Time) time.Time {
	var hosts []string
	for _, server := range b.cfg.View.Servers() {
		if host, _, err := net.SplitHostPort(server.Address); err == nil && server.Service == b.cfg.Machine.Service && !server.Leaving {
			hosts = append(hosts, host)
		}
	}
	rank, n := Rank(b.cfg.Machine.Address, hosts)
	return Turn(named, deadline, rank, n)
}

// startDraining announces to entries that the server takes no new requests; true once they have had time to react.
func (b *Box) startDraining() bool {
	b.mu.Lock()
	already := b.draining
	if !already {
		b.draining, b.drainingSince = true, clock.Now()
	}
	noticed := clock.Since(b.drainingSince) >= drainNotice
	b.mu.Unlock()
	if !already {
		b.sendReport()
	}
	return noticed
}

// clearTurn ends draining and resets the turn: if a past turn were still reported, entries would keep requests away from a
// server that has loaded. mu is held.
func (b *Box) clearTurn() {
	b.draining, b.loadAt = false, time.Time{}
}

// verifyStaged reads all pieces back and verifies them; pieces that are missing or corrupt are fetched again.
func (b *Box) verifyStaged(ctx context.Context, u *update) bool {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	began := clock.Now()
	m := u.manifest
	bad := 0
	for piece := range m.Digests {
		data, err := b.cfg.Engine.ReadPiece(ctx, u.model, piece)
		if err == nil && m.Matches(piece, data) {
			continue
		}
		if err != nil && !errors.As(err, new(*NotHeldError)) {
			return false
		}
		bad++
		b.mu.Lock()
		if u.feed != nil {
			u.feed.PieceLost(piece)
		}
		b.clearTurn()
		b.mu.Unlock()
	}
	if bad > 0 {
		b.log.WithFields(log.Fields{"version": int64(u.version), "bad": bad}).Warn("fill: pieces turned bad and are fetched again")
		b.wake()
		return false
	}
	b.mu.Lock()
	u.verifiedAt, u.writtenAtVerification = began, b.piecesWritten.Load()
	b.mu.Unlock()
	return true
}

// orderLoad sends the load order; if the reply is lost, the server's next state shows the result. It is given up early enough that a
// server that still takes it does so within pieceDecayTime of the verification.
func (b *Box) orderLoad(ctx context.Context, u *update) {
	target, _ := b.cfg.View.Target(u.model)
	b.mu.Lock()
	u.orderedAt = clock.Now()
	orderedAt, restarts := u.orderedAt, b.restarts
	fields := log.Fields{
		"model": u.model, "version": int64(u.version), "seq": u.verifiedSeq, "running": b.state.Running, "waiting": b.state.Waiting,
		"ms": u.orderedAt.Sub(u.startedAt).Milliseconds(), "target": int64(target), "verified_ms": u.orderedAt.Sub(u.verifiedAt).Milliseconds(),
		"staged_since": b.piecesWritten.Load() - u.writtenAtVerification, "server": u.verifiedServer, "cause": "",
	}
	timeout := min(stateTimeout, clock.Until(u.verifiedAt.Add(pieceDecayTime-abandonedCallTime)))
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := b.cfg.Engine.StartLoad(ctx, Order{Model: u.model, Version: u.version, Seq: u.verifiedSeq, Server: u.verifiedServer})
	ordersSent.Inc()
	if err != nil {
		ordersFailed.Inc()
		fields["cause"] = err.Error()
	}
	b.mu.Lock()
	// A server that has restarted meanwhile has forgotten the order.
	u.accepted = err == nil && b.restarts == restarts
	if errors.As(err, new(*OtherServerError)) {
		b.outdatedID = u.verifiedServer
	}
	switch {
	case err == nil:
		b.staging.orderAnswered()
	case mayBeCarriedOut(err):
		b.staging.orderUnanswered(u.verifiedSeq)
	}
	b.loadAt = time.Time{}
	fields["reply_ms"] = clock.Since(orderedAt).Milliseconds()
	b.mu.Unlock()
	b.log.WithFields(fields).Info("fill: order to load")
}
