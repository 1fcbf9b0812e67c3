package swarm

import (
	"math"
	"slices"
	"time"
)

type pieceRequest struct {
	peer  string
	since time.Time
}

// RequestFailed records that a peer declined a request or sent a corrupt piece; the peer is paused.
func (f *Feed) RequestFailed(piece int, from string, now time.Time) {
	f.release(piece, from)
	if p := f.peers[from]; p != nil {
		p.have[piece] = false
		p.pausedUntil = now.Add(faultPause)
	}
}

// adaptWindow grows the window after a fast piece and shrinks it after a slow one. A slow piece also marks its peer as slow,
// since the peer's link may be the cause.
func (f *Feed) adaptWindow(from string, latency time.Duration, now time.Time) {
	f.meanLatency += time.Duration(ewmaWeight * float64(latency-f.meanLatency))
	switch {
	case latency < lowLatency:
		f.window = min(f.window+1, f.params.MaxRequests)
	case latency > highLatency:
		if p := f.peers[from]; p != nil && !now.Before(p.slowUntil) {
			p.slowUntil = now.Add(slowPause)
		}
		f.shrinkWindow(now)
	}
}

// shrinkWindow reduces the window by a third, once for pieces that were in flight together.
func (f *Feed) shrinkWindow(now time.Time) {
	if now.Sub(f.shrunkAt) > shrinkInterval {
		f.window, f.shrunkAt = max(f.window*2/3, 1), now
	}
}

// requestTimeout returns how long a peer with requests may send nothing; it grows with the latency and with consecutive stalls.
func (f *Feed) requestTimeout() time.Duration {
	return max(f.params.RequestTimeout, timeoutFactor/2*f.meanLatency) * time.Duration(1+f.stalls)
}

// expire cancels requests that timed out and pauses their peers. When nothing arrives at all, this box's link may be
// congested with pieces already requested: then the window shrinks to one.
func (f *Feed) expire(now time.Time) []Action {
	var actions []Action
	stalled := now.Sub(f.lastReceived) > f.params.RequestTimeout
	for piece, req := range f.requests {
		p := f.peers[req.peer]
		if p == nil {
			delete(f.requests, piece)
			continue
		}
		if now.Sub(later(req.since, p.lastReceived)) <= f.requestTimeout() {
			continue
		}
		f.release(piece, req.peer)
		p.pausedUntil = now.Add(faultPause)
		p.slowUntil = now.Add(slowPause)
		actions = append(actions, Action{Chunk: piece, Peer: req.peer, Cancel: true})
	}
	if stalled && len(actions) > 0 {
		f.window = 1
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// rankDue reports whether no piece has arrived for the delay of a rank.
func (f *Feed) rankDue(rank int, now time.Time) bool {
	return now.Sub(f.lastReceived) >= time.Duration(min(rank, maxRankWaits))*f.params.RankDelay
}

// nextRequests chooses pieces to request: first those that this box fetches across sites, then by least loaded holder, then
// by rarity. By rarity alone all boxes of a site would ask the one holder of the newest piece.
func (f *Feed) nextRequests(now time.Time) []Action {
	free := f.window - len(f.requests) - len(f.downloading)
	if len(f.requests) == 0 && free <= 0 {
		free = 1
	}
	if free <= 0 {
		return nil
	}
	found := f.candidates(now)
	var actions []Action
	for _, c := range found {
		if len(actions) == free {
			break
		}
		if p := f.pickHolder(c.chunk, now); p != nil {
			f.requests[c.chunk] = pieceRequest{peer: p.member.ID, since: now}
			p.inFlight++
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
		copies, inSite, load := 0, false, math.MaxInt
		for _, p := range f.peers {
			if p.have[piece] && !now.Before(p.pausedUntil) {
				copies++
				load = min(load, p.load())
				inSite = inSite || p.member.Site == f.self.Site && !now.Before(p.slowUntil)
			}
		}
		if copies > 0 && (inSite || f.mayFetchCrossSite(piece, now)) {
			found = append(found, candidate{
				chunk: piece, load: load, copies: copies, deferred: inSite, tiebreak: score(f.self.ID, uint64(piece), ""),
			})
		}
	}
	slices.SortFunc(found, compareCandidates)
	return found
}

// mayFetchCrossSite reports whether this box is due to fetch a piece from another site.
func (f *Feed) mayFetchCrossSite(piece int, now time.Time) bool {
	rank := f.ranks[f.order.Group(piece)][1]
	return rank == 0 || rank > 0 && f.rankDue(rank, now)
}

func (f *Feed) release(piece int, from string) {
	if req, ok := f.requests[piece]; ok && req.peer == from {
		delete(f.requests, piece)
		if p := f.peers[from]; p != nil {
			p.inFlight--
		}
	}
}
