package swarm

import "time"

// DrawFailed says that the origin did not give a piece.
func (f *Feed) DrawFailed(piece int) { delete(f.drawing, piece) }

// DrawUnreached says that the origin could not be reached for a piece: it is drawn in the next round of the schedule, so
// that pieces come one after the other again once the origin is back, not all at once over its link.
func (f *Feed) DrawUnreached(piece int, now time.Time) {
	delete(f.drawing, piece)
	f.retries[piece] = f.slot(piece, now.Add(1))
	f.away = true
}

// slot returns when the schedule comes to a piece at or after a time; it begins anew after each round.
func (f *Feed) slot(piece int, from time.Time) time.Time {
	round := max(time.Duration(len(f.have))*f.params.DrawEvery, f.params.Patience)
	slot := f.began.Add(f.params.Greet + time.Duration(piece)*f.params.DrawEvery)
	if slot.Before(from) {
		slot = slot.Add((from.Sub(slot) + round - 1) / round * round)
	}
	return slot
}

// due returns when one that stands in draws a piece: when it is overdue by more than others usually are, each rank a little
// later than the one before.
func (f *Feed) due(piece, rank int) time.Time {
	return f.slot(piece, f.back).Add(f.late + time.Duration(rank)*f.params.Patience)
}

// hear notes that some box holds a piece, and how late after its slot that was heard.
func (f *Feed) hear(piece int, now time.Time) {
	if !f.heard[piece].IsZero() {
		return
	}
	f.heard[piece] = now
	late := max(now.Sub(f.slot(piece, f.back)), 0)
	f.late += (min(late, 2*f.late) - f.late) / lateWeight
}

// Drawer reports whether this box is the first to draw a piece, so that others wait to hear of it.
func (f *Feed) Drawer(piece int) bool { return f.places[f.order.Group(piece)][0] == 0 }

// nextDraws chooses pieces to draw: those of this box by the schedule, those of earlier ranks when nothing comes.
func (f *Feed) nextDraws(now time.Time) []Action {
	var actions []Action
	for piece := range f.have {
		if len(f.drawing) >= min(f.params.Draws, f.room) {
			break
		}
		if !f.have[piece] && !f.drawing[piece] && f.mayDraw(piece, now) {
			f.drawing[piece] = true
			actions = append(actions, Action{Chunk: piece, Draw: true, Rank: f.places[f.order.Group(piece)][0]})
		}
	}
	return actions
}

func (f *Feed) mayDraw(piece int, now time.Time) bool {
	rank := f.rank(piece, now)
	switch {
	case rank < 0 || rank >= MaxPermits || now.Before(f.retries[piece]) || f.cutOff(now):
		return false
	case f.known(piece, now):
		return f.lonely(piece, f.places[f.order.Group(piece)][0], now)
	case len(f.order.members) > 1 && now.Before(f.began.Add(f.params.Greet)):
		return false
	case rank == 0 && f.tookOver[piece] && !f.away:
		return !now.Before(f.due(piece, 0))
	case rank == 0:
		return !now.Before(f.slot(piece, f.began))
	default:
		// Others draw it only once it is overdue: early on, nothing comes to most boxes because little has been drawn. While
		// the origin is away they leave it to the drawers to ask for it.
		return !f.away && !now.Before(f.due(piece, rank))
	}
}

// rank returns this box's place among those that draw a piece, -1 when it takes no part. Boxes to which it should have a link and
// has none do not count: the next one draws in their place without waiting for them.
func (f *Feed) rank(piece int, now time.Time) int {
	group := f.order.Group(piece)
	place := f.places[group][0]
	if place <= 0 || place >= 2*MaxPermits || now.Before(f.began.Add(linkTime)) {
		return place
	}
	rank := place
	for _, i := range f.order.ranked[group][:place] {
		if id := f.order.members[i].ID; f.expected[id] && f.peers[id] == nil {
			rank--
		}
	}
	return rank
}

// takeOver notes the pieces of which this box has become the first drawer by a new order, and whose slot comes before all boxes
// are likely to have that order: the one before may have drawn them, so they are drawn only when they are overdue. Where two of
// 20 boxes are replaced each 0.3 s, 1.1 copies are drawn instead of 1.3.
func (f *Feed) takeOver(before [][2]int, now time.Time) {
	if len(before) == 0 {
		return
	}
	for piece := range f.have {
		group := f.order.Group(piece)
		if f.places[group][0] == 0 && before[group][0] != 0 && f.slot(piece, f.began).Before(now.Add(orderTime)) {
			f.tookOver[piece] = true
		}
	}
}

// cutOff reports whether this box reaches no other, so that it can give to none what it draws: then the origin's link is left to
// those that can, for some time. With this and rank, no version of 100 stays incomplete where six of 20 boxes are cut off, by 78
// without, and 1.7 copies are drawn instead of 2.1.
func (f *Feed) cutOff(now time.Time) bool {
	return !f.met && len(f.order.members) > 1 && now.Before(f.began.Add(loneTime))
}

// lonely reports whether a piece is held by one box only, for so long that this box is likely not to give it, and the origin's
// link is free: all pieces have had their slot. A box that dies after it drew a piece is noticed much later. A box whose own
// link is jammed leaves such pieces to others.
func (f *Feed) lonely(piece, rank int, now time.Time) bool {
	if rank == 0 || f.away || f.way > quickPiece || now.Before(f.slot(len(f.have)-1, f.began).Add(f.late)) {
		return false
	}
	holders := 0
	for _, p := range f.peers {
		if p.have[piece] {
			holders++
		}
	}
	return holders == 1 && now.Sub(f.heard[piece]) >= time.Duration(rank+1)*f.params.Patience
}

// known reports whether any linked box that is not left alone holds a piece.
func (f *Feed) known(piece int, now time.Time) bool {
	for _, p := range f.peers {
		if p.have[piece] && !now.Before(p.rest) {
			return true
		}
	}
	return false
}
