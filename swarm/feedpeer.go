package swarm

import "time"

// feedPeer is a linked box.
type feedPeer struct {
	member Member
	have   []bool
	// asked is how many pieces are asked of it, queue how many it said it has to give.
	asked int
	queue int
	// came is when a piece last came from it.
	came time.Time
	// rest is until when it is not asked, slow until when only for what no other holds.
	rest time.Time
	slow time.Time
}

// Peer tells that a link to a box is up.
func (f *Feed) Peer(member Member) {
	if f.peers[member.ID] == nil {
		f.peers[member.ID] = &feedPeer{member: member, have: make([]bool, len(f.have))}
	}
}

// PeerHolds reports whether a linked box is known to hold a piece.
func (f *Feed) PeerHolds(id string, piece int) bool {
	p := f.peers[id]
	return p != nil && p.have[piece]
}

// PeerGone tells that the link to a box has ended.
func (f *Feed) PeerGone(id string) {
	for piece, a := range f.asks {
		if a.peer == id {
			delete(f.asks, piece)
		}
	}
	delete(f.peers, id)
}

// PeerHas tells which pieces a box holds, all of them when reset, and how many it has to give before the next.
func (f *Feed) PeerHas(id string, reset bool, pieces []uint32, queue int, now time.Time) {
	p := f.peers[id]
	if p == nil {
		return
	}
	p.queue = queue
	if reset {
		clear(p.have)
	}
	for _, piece := range pieces {
		if int(piece) < len(p.have) {
			p.have[piece] = true
			f.hear(int(piece), now)
		}
	}
}

// holder returns the box to ask for a piece: of those that are quick, of those of the own site, the less loaded of two.
// Asking the least loaded of all would send every box that heard the same news to the same giver.
func (f *Feed) holder(piece int, now time.Time) *feedPeer {
	var first, second *feedPeer
	for _, p := range f.peers {
		if !p.have[piece] || now.Before(p.rest) {
			continue
		}
		switch {
		case first == nil || f.before(p, first, piece, now):
			first, second = p, first
		case second == nil || f.before(p, second, piece, now):
			second = p
		}
	}
	if second != nil && f.class(first, now) == f.class(second, now) && second.load() < first.load() {
		return second
	}
	return first
}

// class orders boxes by what asking them costs: slow ones last, then those of other sites.
func (f *Feed) class(p *feedPeer, now time.Time) int {
	class := 0
	if now.Before(p.slow) {
		class += 2
	}
	if p.member.Site != f.self.Site {
		class++
	}
	return class
}

// before orders boxes by class, and within one in an order that changes with each piece held.
func (f *Feed) before(a, b *feedPeer, piece int, now time.Time) bool {
	if classA, classB := f.class(a, now), f.class(b, now); classA != classB {
		return classA < classB
	}
	salt := f.salt + uint64(piece)<<16 + uint64(f.missing)
	return score(a.member.ID, salt, "") < score(b.member.ID, salt, "")
}

// load is what a box has to give before a piece that it is asked for now, as far as is known.
func (p *feedPeer) load() int { return 2*p.asked + p.queue }
