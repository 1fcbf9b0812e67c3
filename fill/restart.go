package fill

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
)

// isRestart reports whether the server restarted between two states: its start time differs, or its count of orders went
// back.
func (s State) isRestart(next State) bool {
	return contract.DifferentIncarnations(s.Born, next.Born) || next.Seq < s.Seq
}

// resetAfterRestart drops what was known of the server before its restart: the order it accepted and its turn. Otherwise a server
// that restarted between order and load would never get another. mu is held.
func (b *Box) resetAfterRestart(next State) {
	for _, u := range []*update{b.active, b.pending} {
		if u != nil {
			u.accepted, u.orderedAt = false, time.Time{}
		}
	}
	b.clearTurn()
	b.needsRelist = true
	b.restarts++
	b.log.WithFields(log.Fields{"born": next.Born, "seq": next.Seq}).Warn("fill: the server has started again")
}

// relistPieces lists the pieces staged at a restarted server, so that missing ones are fetched again: staged pieces survive a
// crash, but not a power loss.
func (b *Box) relistPieces(ctx context.Context, u *update) {
	b.mu.Lock()
	due := b.needsRelist && u.feed != nil
	b.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	held, err := b.cfg.Engine.StagedPieces(ctx, u.model)
	if err != nil {
		return
	}
	staged := make(map[int]bool, len(held))
	for _, piece := range held {
		staged[piece] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.needsRelist = false
	for _, piece := range u.feed.Held() {
		if !staged[int(piece)] && u.buffered[int(piece)] == nil {
			u.feed.PieceLost(int(piece))
		}
	}
}
