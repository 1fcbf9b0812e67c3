package swarm

import (
	"cmp"
	"slices"
)

// MaxNeighbours bounds a box's links within its own site.
const MaxNeighbours = 12

// Neighbours returns up to MaxNeighbours boxes of self's site, in rendezvous order.
func Neighbours(self Member, members []Member) []Member {
	var neighbours []Member
	for _, member := range members {
		if member.Site == self.Site && member.ID != self.ID {
			neighbours = append(neighbours, member)
		}
	}
	slices.SortFunc(neighbours, func(a, b Member) int {
		return cmp.Compare(pairScore(self.ID, b.ID), pairScore(self.ID, a.ID))
	})
	if len(neighbours) > MaxNeighbours {
		neighbours = neighbours[:MaxNeighbours]
	}
	return neighbours
}

// pairScore is symmetric, so that most neighbour relations are mutual.
func pairScore(a, b string) uint64 {
	return score(min(a, b), 0, max(a, b))
}
