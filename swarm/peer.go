package swarm

import (
	"cmp"
	"slices"
	"time"
)

// peer is the state of a linked box.
type peer struct {
	member   Member
	have     []bool
	queue    int
	sent     int
	inFlight int
	faults   int
	// announced is set once the peer has announced its chunks.
	announced bool
	// Until pausedUntil the peer gets requests only for chunks that no other peer holds, before retryAt none.
	pausedUntil time.Time
	retryAt     time.Time
}

// Peer records that the link to a box is up.
func (n *Node) Peer(member Member) {
	if n.peers[member.ID] == nil {
		n.peers[member.ID] = &peer{member: member, have: make([]bool, len(n.have))}
	}
}

// PeerGone records that the link to a box has ended.
func (n *Node) PeerGone(id string) {
	for chunk, req := range n.requests {
		if req.peer == id {
			delete(n.requests, chunk)
		}
	}
	if p := n.peers[id]; p != nil {
		n.clearHoldings(p)
	}
	delete(n.peers, id)
}

// PeerLoad records how many requests a box has queued and how many chunks it has sent.
func (n *Node) PeerLoad(id string, queue, sent int) {
	if p := n.peers[id]; p != nil {
		p.queue, p.sent = queue, sent
	}
}

// PeerHas records chunks that a box holds; reset replaces the known set.
func (n *Node) PeerHas(id string, reset bool, chunks []uint32, now time.Time) {
	p := n.peers[id]
	if p == nil {
		return
	}
	p.announced = true
	if reset {
		n.clearHoldings(p)
	}
	for _, chunk := range chunks {
		if int(chunk) < len(p.have) && !p.have[chunk] {
			p.have[chunk] = true
			n.addCopies(p, int(chunk), 1)
		}
	}
	if len(chunks) > 0 {
		n.lastProgress = now
	}
}

// PeerHolds reports whether a box is known to hold a chunk.
func (n *Node) PeerHolds(id string, chunk int) bool {
	p := n.peers[id]
	return p != nil && p.have[chunk]
}

// addCopies adjusts the number of linked boxes that hold a chunk.
func (n *Node) addCopies(p *peer, chunk, by int) {
	n.copies[chunk] += by
	if p.member.Site == n.params.Self.Site {
		n.siteCopies[chunk] += by
	}
}

func (n *Node) clearHoldings(p *peer) {
	for chunk, held := range p.have {
		if held {
			p.have[chunk] = false
			n.addCopies(p, chunk, -1)
		}
	}
}

// holders returns the peers that may be asked for a chunk now, in an order private to this box. Paused peers are used
// only if no other peer holds the chunk, one request at a time.
func (n *Node) holders(chunk int, now time.Time) []*peer {
	var holders, paused []*peer
	others := false
	for _, p := range n.peers {
		switch {
		case !p.have[chunk]:
		case now.Before(p.pausedUntil):
			paused = append(paused, p)
		default:
			others = true
			if p.inFlight < n.params.MaxRequestsPerPeer {
				holders = append(holders, p)
			}
		}
	}
	if !others {
		holders = slices.DeleteFunc(paused, func(p *peer) bool { return p.inFlight > 0 || now.Before(p.retryAt) })
	}
	slices.SortFunc(holders, func(a, b *peer) int { return cmp.Compare(n.tiebreak(a.member.ID), n.tiebreak(b.member.ID)) })
	return holders
}

// lessLoaded returns the less loaded of the first two holders. Choosing the least loaded of all would send all boxes with
// the same information to the same peer.
func lessLoaded(holders []*peer) *peer {
	switch {
	case len(holders) == 0:
		return nil
	case len(holders) == 1 || holders[0].load() <= holders[1].load():
		return holders[0]
	default:
		return holders[1]
	}
}

// load weighs the chunks that a peer has sent and its queued requests.
func (p *peer) load() int {
	return p.sent + queueWeight*(p.queue+p.inFlight)
}

// queueWeight is how many sent chunks count as much as one queued request.
const queueWeight = 2

// tiebreak orders peers pseudorandomly per box; the order changes with each chunk received.
func (n *Node) tiebreak(id string) uint64 {
	return score(id, n.salt+uint64(n.missing), "")
}
