package swarm

import (
	"cmp"
	"slices"
	"time"
)

// peer is what a node knows of a box to which a link is up.
type peer struct {
	member Member
	have   []bool
	queue  int
	given  int
	asked  int
	faults int
	// told says that the box has told what it holds.
	told bool
	// pause is until when the box is left alone, retry until when even for chunks that no other box holds.
	pause time.Time
	retry time.Time
}

// Peer tells of a box to which a link is up.
func (n *Node) Peer(member Member) {
	if n.peers[member.ID] == nil {
		n.peers[member.ID] = &peer{member: member, have: make([]bool, len(n.have))}
	}
}

// PeerGone tells that the link to a box has ended.
func (n *Node) PeerGone(id string) {
	for chunk, a := range n.asked {
		if a.peer == id {
			delete(n.asked, chunk)
		}
	}
	if p := n.peers[id]; p != nil {
		n.forget(p)
	}
	delete(n.peers, id)
}

// PeerLoad tells how many asks a box has waiting and how many chunks it has given so far.
func (n *Node) PeerLoad(id string, queue, given int) {
	if p := n.peers[id]; p != nil {
		p.queue, p.given = queue, given
	}
}

// PeerHas tells which chunks a box holds, all of them when reset.
func (n *Node) PeerHas(id string, reset bool, chunks []uint32, now time.Time) {
	p := n.peers[id]
	if p == nil {
		return
	}
	p.told = true
	if reset {
		n.forget(p)
	}
	for _, chunk := range chunks {
		if int(chunk) < len(p.have) && !p.have[chunk] {
			p.have[chunk] = true
			n.count(p, int(chunk), 1)
		}
	}
	if len(chunks) > 0 {
		n.news = now
	}
}

// PeerHolds reports whether a box is known to hold a chunk.
func (n *Node) PeerHolds(id string, chunk int) bool {
	p := n.peers[id]
	return p != nil && p.have[chunk]
}

// count adds to the number of linked boxes that hold a chunk.
func (n *Node) count(p *peer, chunk, by int) {
	n.copies[chunk] += by
	if p.member.Site == n.params.Self.Site {
		n.near[chunk] += by
	}
}

// forget takes back what a box was known to hold.
func (n *Node) forget(p *peer) {
	for chunk, held := range p.have {
		if held {
			p.have[chunk] = false
			n.count(p, chunk, -1)
		}
	}
}

// holders returns the boxes that can be asked for a chunk now, in an order of this box's own. Boxes left alone come
// in only, one ask at a time, when no other holds the chunk: it may be theirs alone.
func (n *Node) holders(chunk int, now time.Time) []*peer {
	var holders, paused []*peer
	others := false
	for _, p := range n.peers {
		switch {
		case !p.have[chunk]:
		case now.Before(p.pause):
			paused = append(paused, p)
		default:
			others = true
			if p.asked < n.params.PullsPerPeer {
				holders = append(holders, p)
			}
		}
	}
	if !others {
		holders = slices.DeleteFunc(paused, func(p *peer) bool { return p.asked > 0 || now.Before(p.retry) })
	}
	slices.SortFunc(holders, func(a, b *peer) int { return cmp.Compare(n.tie(a.member.ID), n.tie(b.member.ID)) })
	return holders
}

// lighter returns the less loaded of the first two holders. Asking the least loaded of all would send every box that
// heard the same news to the same giver at once.
func lighter(holders []*peer) *peer {
	switch {
	case len(holders) == 0:
		return nil
	case len(holders) == 1 || holders[0].load() <= holders[1].load():
		return holders[0]
	default:
		return holders[1]
	}
}

// load is the chunks that a box has given and those it has been asked for.
func (p *peer) load() int {
	return p.given + queueWeight*(p.queue+p.asked)
}

// queueWeight is how many chunks given count as much as one that waits.
const queueWeight = 2

// tie is a box's place in an order of this box's own, which changes with each chunk.
func (n *Node) tie(id string) uint64 {
	return score(id, n.salt+uint64(n.missing), "")
}
