package swarm

import (
	"cmp"
	"slices"
	"time"

	"github.com/coralstair/coralstair/fleet"
)

// candidate is a missing chunk that could be asked for now.
type candidate struct {
	chunk int
	// last says that it comes after those that are not: chunks of a node that are planned to be drawn, pieces of a feed
	// that a box of the own site holds.
	last bool
	// load is what the least loaded holder has to give before; a node does not tell it.
	load   int
	copies int
	tie    uint64
}

// nextAsks chooses chunks to ask of other boxes: the rarest first, those planned to be drawn last.
func (n *Node) nextAsks(now time.Time) []Action {
	room := n.params.Pulls - len(n.asked)
	if room <= 0 {
		return nil
	}
	var actions []Action
	for _, c := range n.candidates(now) {
		if len(actions) == room {
			break
		}
		if holder := n.holder(c.chunk, now); holder != nil {
			n.asked[c.chunk] = ask{peer: holder.member.ID, since: now}
			holder.asked++
			actions = append(actions, Action{Chunk: c.chunk, Peer: holder.member.ID})
		}
	}
	return actions
}

// nextDraws chooses chunks to draw from the origin: those for which this box comes first, then by rank.
func (n *Node) nextDraws(now time.Time) []Action {
	var actions []Action
	for _, chunk := range n.drawable(now) {
		if len(n.drawing) >= n.params.Draws {
			break
		}
		group := n.order.Group(chunk)
		if n.wanted(chunk) && n.mayDraw(chunk, group, now) {
			n.drawing[chunk] = true
			actions = append(actions, Action{Chunk: chunk, Draw: true, Rank: n.ranks[group]})
		}
	}
	return actions
}

// drawable returns the chunks that may be this box's to draw: those planned, and all once nothing has come for long.
func (n *Node) drawable(now time.Time) []int {
	for len(n.plan) > 0 && n.have[n.plan[0]] {
		n.plan = n.plan[1:]
	}
	if !n.waited(1, now) {
		return n.plan
	}
	return n.Missing()
}

// makePlan lists the chunks that this box draws without waiting, the lowest rank first.
func (n *Node) makePlan() {
	n.plan = nil
	for chunk := range n.have {
		if rank := n.ranks[n.order.Group(chunk)]; rank >= 0 && n.planned(rank) && !n.have[chunk] {
			n.plan = append(n.plan, chunk)
		}
	}
	slices.SortStableFunc(n.plan, func(a, b int) int {
		return cmp.Compare(n.ranks[n.order.Group(a)], n.ranks[n.order.Group(b)])
	})
}

// mayDraw says whether this box's turn to draw a group has come. A later rank waits longer, and draws only
// what no box it knows of holds; when time weighs more the first ranks need not wait.
func (n *Node) mayDraw(chunk, group int, now time.Time) bool {
	rank := n.ranks[group]
	if rank < 0 || now.Before(n.closed[group]) || !n.knows(now) {
		return false
	}
	if n.planned(rank) && n.params.Prefer == fleet.PreferTime {
		return true
	}
	return n.copies[chunk] == 0 && (n.planned(rank) || n.waited(rank, now))
}

// knows reports whether this box knows enough of the others to draw: one to which it has a link has told what it holds, there is
// none, or it has waited for long. A box that is replaced would otherwise draw what its neighbours hold, also in the moment in
// which the link on which it was told gives way to another.
func (n *Node) knows(now time.Time) bool {
	if len(n.order.members) < 2 || now.Sub(n.began) >= n.params.RankWait {
		return true
	}
	for _, p := range n.peers {
		if p.told {
			return true
		}
	}
	return false
}

// planned reports whether a box of that rank draws a group without waiting.
func (n *Node) planned(rank int) bool {
	if n.params.Prefer == fleet.PreferTime {
		return rank < timeRanks
	}
	return rank == 0
}

// candidates returns the missing chunks that a linked box holds, in the order in which to ask for them.
func (n *Node) candidates(now time.Time) []candidate {
	var found []candidate
	for chunk := range n.have {
		if !n.wanted(chunk) {
			continue
		}
		copies := n.copies[chunk]
		if copies == 0 {
			continue
		}
		group := n.order.Group(chunk)
		rank := n.ranks[group]
		found = append(found, candidate{
			chunk: chunk, copies: copies,
			last: rank >= 0 && n.planned(rank) && !now.Before(n.closed[group]),
			tie:  score(n.params.Self.ID, uint64(chunk), ""),
		})
	}
	slices.SortFunc(found, compareCandidates)
	return found
}

// compareCandidates puts the last ones last, and of the others and of these the least loaded and then the rarest first.
func compareCandidates(a, b candidate) int {
	if a.last != b.last {
		if a.last {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.copies, b.copies), cmp.Compare(a.tie, b.tie))
}

// holder returns the box to ask for a chunk: one of the own site first; another site only when it is this
// box's part to fetch the chunk across, so that a chunk crosses a thin link once.
func (n *Node) holder(chunk int, now time.Time) *peer {
	holders := n.holders(chunk, now)
	near := slices.DeleteFunc(slices.Clone(holders), func(p *peer) bool { return p.member.Site != n.params.Self.Site })
	if len(near) > 0 {
		return lighter(near)
	}
	if !n.mayCross(chunk, now) {
		return nil
	}
	return lighter(holders)
}

// mayCross says whether this box's turn to fetch a chunk from another site has come.
func (n *Node) mayCross(chunk int, now time.Time) bool {
	place := n.places[n.order.Group(chunk)]
	return n.near[chunk] == 0 && place >= 0 && n.waited(place, now)
}

// CrossLinks returns the boxes of other sites to which this box needs a link: the sources of the groups it is
// home of, and stand-ins for those whose home has not delivered in time.
func (n *Node) CrossLinks(now time.Time) []Member {
	seen := make(map[string]bool)
	var links []Member
	for group := range n.order.Groups() {
		if n.groupHeld(group) {
			continue
		}
		if n.places[group] < 0 || !n.waited(n.places[group], now) {
			continue
		}
		for _, member := range n.order.Sources(group, n.params.Self.Site) {
			if !seen[member.ID] {
				seen[member.ID] = true
				links = append(links, member)
			}
		}
	}
	return links
}

// maxRankWaits bounds how many times RankWait a late rank waits.
const maxRankWaits = 8

// waited reports whether nothing new has been seen for as long as a rank has to wait. While chunks still come,
// those in front are at work and a later rank must not draw or fetch the same again.
func (n *Node) waited(rank int, now time.Time) bool {
	wait := max(n.params.RankWait, patienceFactor*n.usual)
	return now.Sub(n.news) >= time.Duration(min(rank, maxRankWaits))*wait
}

// groupHeld reports whether all chunks of a group are held.
func (n *Node) groupHeld(group int) bool {
	for chunk := group * n.order.chunks / n.order.Groups(); chunk < len(n.have) && n.order.Group(chunk) <= group; chunk++ {
		if n.order.Group(chunk) == group && !n.have[chunk] {
			return false
		}
	}
	return true
}
