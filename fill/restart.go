package fill

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/contract"
)

// anotherLife reports whether a state is of another life of the server than the one before: its birth differs, or its count of
// orders went back.
func (s State) anotherLife(next State) bool {
	return contract.IsAnotherLife(s.Born, next.Born) || next.Seq < s.Seq
}

// forgetLife drops what was believed of the server's life that has ended: the order that it took, when its turn came, and that its
// pieces were whole. Without that a server that started again between its order and its load would never get another. mu is
// held.
func (b *Box) forgetLife(next State) {
	for _, f := range []*filling{b.fill, b.pending} {
		if f != nil {
			f.given, f.ordered, f.checked = false, time.Time{}, time.Time{}
		}
	}
	b.reopen()
	b.relist = true
	b.log.WithFields(log.Fields{"born": next.Born, "seq": next.Seq}).Warn("fill: the server has started again")
}

// listAgain has the pieces fetched again that a server no longer holds after it started again: they outlast a crash, not a loss of
// power.
func (b *Box) listAgain(ctx context.Context, f *filling) {
	b.mu.Lock()
	due := b.relist && f.feed != nil
	b.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stateTime)
	defer cancel()
	held, err := b.cfg.Engine.Held(ctx, f.model)
	if err != nil {
		return
	}
	lies := make(map[int]bool, len(held))
	for _, piece := range held {
		lies[piece] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.relist = false
	for _, piece := range f.feed.Held() {
		if !lies[int(piece)] && f.memory[int(piece)] == nil {
			f.feed.Lost(int(piece))
		}
	}
}
