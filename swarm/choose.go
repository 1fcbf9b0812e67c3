package swarm

import (
	"cmp"
	"slices"
	"time"

	"github.com/coralstair/coralstair/fleet"
)

// candidate is a missing chunk that can be requested now.
type candidate struct {
	chunk int
	// deferred candidates come last: a Node's chunks that this box will download, a Feed's pieces held in its own site.
	deferred bool
	// load is the load of the least loaded holder; a Node leaves it 0.
	load     int
	copies   int
	tiebreak uint64
}

// nextRequests chooses chunks to request from peers: the rarest first, those planned for download last.
func (n *Node) nextRequests(now time.Time) []Action {
	free := n.params.MaxRequests - len(n.requests)
	if free <= 0 {
		return nil
	}
	var actions []Action
	for _, c := range n.candidates(now) {
		if len(actions) == free {
			break
		}
		if holder := n.pickHolder(c.chunk, now); holder != nil {
			n.requests[c.chunk] = chunkRequest{peer: holder.member.ID, since: now}
			holder.inFlight++
			actions = append(actions, Action{Chunk: c.chunk, Peer: holder.member.ID})
		}
	}
	return actions
}

// nextDownloads chooses chunks to download from the origin, lowest rank first.
func (n *Node) nextDownloads(now time.Time) []Action {
	var actions []Action
	for _, chunk := range n.downloadable(now) {
		if len(n.downloading) >= n.params.MaxDownloads {
			break
		}
		group := n.order.Group(chunk)
		if n.wanted(chunk) && n.mayDownload(chunk, group, now) {
			n.downloading[chunk] = true
			actions = append(actions, Action{Chunk: chunk, Download: true, Rank: n.ranks[group]})
		}
	}
	return actions
}

// downloadable returns the chunks that this box may download: the planned ones, or all missing ones after a stall.
func (n *Node) downloadable(now time.Time) []int {
	for len(n.plan) > 0 && n.have[n.plan[0]] {
		n.plan = n.plan[1:]
	}
	if !n.rankDue(1, now) {
		return n.plan
	}
	return n.Missing()
}

// makePlan lists the chunks that this box downloads without delay, lowest rank first.
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

// mayDownload reports whether this box may download a chunk now. Later ranks wait longer and download only chunks
// that no peer holds; in a fleet that prefers time the first ranks do not wait.
func (n *Node) mayDownload(chunk, group int, now time.Time) bool {
	rank := n.ranks[group]
	if rank < 0 || now.Before(n.blockedUntil[group]) || !n.knowsHoldings(now) {
		return false
	}
	if n.planned(rank) && n.params.Prefer == fleet.PreferTime {
		return true
	}
	return n.copies[chunk] == 0 && (n.planned(rank) || n.rankDue(rank, now))
}

// knowsHoldings reports whether a linked peer has announced its chunks, this box is the only member, or RankDelay has passed.
// Otherwise a replaced box would download chunks that its neighbours hold, also while a link is being replaced.
func (n *Node) knowsHoldings(now time.Time) bool {
	if len(n.order.members) < 2 || now.Sub(n.started) >= n.params.RankDelay {
		return true
	}
	for _, p := range n.peers {
		if p.announced {
			return true
		}
	}
	return false
}

// planned reports whether a box of this rank downloads a group without delay.
func (n *Node) planned(rank int) bool {
	if n.params.Prefer == fleet.PreferTime {
		return rank < immediateRanks
	}
	return rank == 0
}

// candidates returns the missing chunks that a peer holds, in request order.
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
			deferred: rank >= 0 && n.planned(rank) && !now.Before(n.blockedUntil[group]),
			tiebreak: score(n.params.Self.ID, uint64(chunk), ""),
		})
	}
	slices.SortFunc(found, compareCandidates)
	return found
}

// compareCandidates orders deferred candidates last, then by load and by rarity.
func compareCandidates(a, b candidate) int {
	if a.deferred != b.deferred {
		if a.deferred {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.copies, b.copies), cmp.Compare(a.tiebreak, b.tiebreak))
}

// pickHolder returns the peer to request a chunk from. Another site is used only when this box is due to fetch the chunk
// across sites, so that the chunk crosses a narrow link once.
func (n *Node) pickHolder(chunk int, now time.Time) *peer {
	holders := n.holders(chunk, now)
	inSite := slices.DeleteFunc(slices.Clone(holders), func(p *peer) bool { return p.member.Site != n.params.Self.Site })
	if len(inSite) > 0 {
		return lessLoaded(inSite)
	}
	if !n.mayFetchCrossSite(chunk, now) {
		return nil
	}
	return lessLoaded(holders)
}

// mayFetchCrossSite reports whether this box is due to fetch a chunk from another site.
func (n *Node) mayFetchCrossSite(chunk int, now time.Time) bool {
	rank := n.siteRanks[n.order.Group(chunk)]
	return n.siteCopies[chunk] == 0 && rank >= 0 && n.rankDue(rank, now)
}

// CrossSitePeers returns the boxes of other sites to link to: the sources of the groups for which this box is its site's
// gateway, and of those whose gateway has not delivered in time.
func (n *Node) CrossSitePeers(now time.Time) []Member {
	seen := make(map[string]bool)
	var sources []Member
	for group := range n.order.Groups() {
		if n.groupHeld(group) {
			continue
		}
		if n.siteRanks[group] < 0 || !n.rankDue(n.siteRanks[group], now) {
			continue
		}
		for _, member := range n.order.Sources(group, n.params.Self.Site) {
			if !seen[member.ID] {
				seen[member.ID] = true
				sources = append(sources, member)
			}
		}
	}
	return sources
}

// maxRankWaits bounds the delay of late ranks, in multiples of RankDelay.
const maxRankWaits = 8

// rankDue reports whether there has been no progress for the delay of a rank. While chunks still arrive, earlier ranks
// are working and a later rank must not fetch the same chunks again.
func (n *Node) rankDue(rank int, now time.Time) bool {
	wait := max(n.params.RankDelay, timeoutFactor*n.meanTime)
	return now.Sub(n.lastProgress) >= time.Duration(min(rank, maxRankWaits))*wait
}

func (n *Node) groupHeld(group int) bool {
	for chunk := group * n.order.chunks / n.order.Groups(); chunk < len(n.have) && n.order.Group(chunk) <= group; chunk++ {
		if n.order.Group(chunk) == group && !n.have[chunk] {
			return false
		}
	}
	return true
}
