package swarm

import "time"

// feedPeer is the state of a linked box.
type feedPeer struct {
	member Member
	have   []bool
	// takesPart is set once the box has told which pieces of this version it holds; one that fetches another version tells nothing.
	takesPart bool
	// inFlight counts this box's requests to the peer, queue is the queue length that the peer announced.
	inFlight     int
	queue        int
	lastReceived time.Time
	// The peer gets no requests until pausedUntil, and until slowUntil only for pieces that no other holds.
	pausedUntil time.Time
	slowUntil   time.Time
}

// Peer records that the link to a box is up.
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

// PeerGone records that the link to a box has ended.
func (f *Feed) PeerGone(id string) {
	for piece, req := range f.requests {
		if req.peer == id {
			delete(f.requests, piece)
		}
	}
	if f.peers[id] != nil {
		f.gone[id] = true
	}
	delete(f.peers, id)
}

// fleetElsewhere reports whether most linked boxes have told nothing of this version, since they fetch another one. Backups then do not
// stand in: the origin's link is needed for that other version, and those boxes download their own pieces once they come to this one.
func (f *Feed) fleetElsewhere() bool {
	takePart := 0
	for _, p := range f.peers {
		if p.takesPart {
			takePart++
		}
	}
	return 2*takePart < len(f.peers)
}

// PeerHas records pieces that a box holds and its queue length; reset replaces the known set.
func (f *Feed) PeerHas(id string, reset bool, pieces []uint32, queue int, now time.Time) {
	p := f.peers[id]
	if p == nil {
		return
	}
	p.queue, p.takesPart = queue, true
	if reset {
		clear(p.have)
	}
	for _, piece := range pieces {
		if int(piece) < len(p.have) {
			p.have[piece] = true
			f.recordSeen(int(piece), now)
		}
	}
}

// pickHolder returns the peer to request a piece from: the less loaded of the first two in the cheapest class. Choosing
// the least loaded of all would send all boxes with the same information to the same peer.
func (f *Feed) pickHolder(piece int, now time.Time) *feedPeer {
	var first, second *feedPeer
	for _, p := range f.peers {
		if !p.have[piece] || now.Before(p.pausedUntil) {
			continue
		}
		switch {
		case first == nil || f.preferred(p, first, piece, now):
			first, second = p, first
		case second == nil || f.preferred(p, second, piece, now):
			second = p
		}
	}
	if second != nil && f.costClass(first, now) == f.costClass(second, now) && second.load() < first.load() {
		return second
	}
	return first
}

// costClass ranks peers by cost: own site, other sites, then slow peers in the same order.
func (f *Feed) costClass(p *feedPeer, now time.Time) int {
	class := 0
	if now.Before(p.slowUntil) {
		class += 2
	}
	if p.member.Site != f.self.Site {
		class++
	}
	return class
}

// preferred orders peers by class, and within a class in an order that changes with each piece received.
func (f *Feed) preferred(a, b *feedPeer, piece int, now time.Time) bool {
	if classA, classB := f.costClass(a, now), f.costClass(b, now); classA != classB {
		return classA < classB
	}
	salt := f.salt + uint64(piece)<<16 + uint64(f.missing)
	return score(a.member.ID, salt, "") < score(b.member.ID, salt, "")
}

// load estimates the peer's queue from this box's requests and the announced length.
func (p *feedPeer) load() int { return 2*p.inFlight + p.queue }
