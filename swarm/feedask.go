package swarm

import (
	"math"
	"slices"
	"time"
)

// feedAsk is a piece asked of a box.
type feedAsk struct {
	peer  string
	since time.Time
}

// Failed says that a box will not give a piece now, or gave a bad one; it is not asked for a while.
func (f *Feed) Failed(piece int, from string, now time.Time) {
	f.release(piece, from)
	if p := f.peers[from]; p != nil {
		p.have[piece] = false
		p.rest = now.Add(faultRest)
	}
}

// adapt lets as many pieces be asked for at a time as come soon after they left. The first slow one from a box may be
// its own link's fault: then the box is set aside.
func (f *Feed) adapt(from string, way time.Duration, now time.Time) {
	f.way += time.Duration(smoothing * float64(way-f.way))
	switch {
	case way < quickPiece:
		f.room = min(f.room+1, f.params.Asks)
	case way > slowPiece:
		if p := f.peers[from]; p != nil && !now.Before(p.slow) {
			p.slow = now.Add(slowRest)
		}
		f.shrink(now)
	}
}

// shrink takes a third of the asks at a time, once for what was on its way together.
func (f *Feed) shrink(now time.Time) {
	if now.Sub(f.shrunk) > shrinkPause {
		f.room, f.shrunk = max(f.room*2/3, 1), now
	}
}

// patience is how long a box that was asked may send nothing, longer while all pieces take long.
func (f *Feed) patience() time.Duration {
	return max(f.params.HolderPatience, patienceFactor/2*f.way) * time.Duration(1+f.stalls)
}

// expire gives up asks that a box does not answer, and leaves the box alone for a while. When nothing at all comes, the
// fault may be the own link's, on which what was asked for still waits: then as little as possible is asked for again.
func (f *Feed) expire(now time.Time) []Action {
	var actions []Action
	stalled := now.Sub(f.news) > f.params.HolderPatience
	for piece, a := range f.asks {
		p := f.peers[a.peer]
		if p == nil {
			delete(f.asks, piece)
			continue
		}
		if now.Sub(later(a.since, p.came)) <= f.patience() {
			continue
		}
		f.release(piece, a.peer)
		p.rest = now.Add(faultRest)
		p.slow = now.Add(slowRest)
		actions = append(actions, Action{Chunk: piece, Peer: a.peer, Drop: true})
	}
	if stalled && len(actions) > 0 {
		f.room = 1
		f.stalls = min(f.stalls+1, maxStalls)
	}
	return actions
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// waited reports whether nothing has come for as long as a rank has to wait.
func (f *Feed) waited(rank int, now time.Time) bool {
	return now.Sub(f.news) >= time.Duration(min(rank, maxRankWaits))*f.params.Patience
}

// nextAsks chooses pieces to ask for: those that this box takes across for its site first, then those of the least loaded
// holders, of these the rarest. By rarity alone all boxes of a site would ask the one holder of the newest piece.
func (f *Feed) nextAsks(now time.Time) []Action {
	room := f.room - len(f.asks) - len(f.drawing)
	if len(f.asks) == 0 && room <= 0 {
		room = 1
	}
	if room <= 0 {
		return nil
	}
	found := f.candidates(now)
	var actions []Action
	for _, c := range found {
		if len(actions) == room {
			break
		}
		if p := f.holder(c.chunk, now); p != nil {
			f.asks[c.chunk] = feedAsk{peer: p.member.ID, since: now}
			p.asked++
			actions = append(actions, Action{Chunk: c.chunk, Peer: p.member.ID})
		}
	}
	return actions
}

func (f *Feed) candidates(now time.Time) []candidate {
	var found []candidate
	for piece := range f.have {
		if !f.wanted(piece) {
			continue
		}
		copies, near, load := 0, false, math.MaxInt
		for _, p := range f.peers {
			if p.have[piece] && !now.Before(p.rest) {
				copies++
				load = min(load, p.load())
				near = near || p.member.Site == f.self.Site && !now.Before(p.slow)
			}
		}
		if copies > 0 && (near || f.mayCross(piece, now)) {
			found = append(found, candidate{
				chunk: piece, load: load, copies: copies, last: near, tie: score(f.self.ID, uint64(piece), ""),
			})
		}
	}
	slices.SortFunc(found, compareCandidates)
	return found
}

// mayCross says whether this box's turn to fetch a piece from another site has come.
func (f *Feed) mayCross(piece int, now time.Time) bool {
	place := f.places[f.order.Group(piece)][1]
	return place == 0 || place > 0 && f.waited(place, now)
}

func (f *Feed) release(piece int, from string) {
	if a, ok := f.asks[piece]; ok && a.peer == from {
		delete(f.asks, piece)
		if p := f.peers[from]; p != nil {
			p.asked--
		}
	}
}
