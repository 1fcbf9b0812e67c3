package swarm

import (
	"cmp"
	"slices"
)

// MaxNeighbours bounds a box's links within its own site.
const MaxNeighbours = 12

// Neighbours returns up to MaxNeighbours boxes of self's site, in rendezvous order.
func Neighbours(self Member, members []Member) []Member {
	var near []Member
	for _, member := range members {
		if member.Site == self.Site && member.ID != self.ID {
			near = append(near, member)
		}
	}
	slices.SortFunc(near, func(a, b Member) int {
		return cmp.Compare(pairScore(self.ID, b.ID), pairScore(self.ID, a.ID))
	})
	if len(near) > MaxNeighbours {
		near = near[:MaxNeighbours]
	}
	return near
}

// pairScore is symmetric, so that most neighbour relations are mutual.
func pairScore(a, b string) uint64 {
	return score(min(a, b), 0, max(a, b))
}
