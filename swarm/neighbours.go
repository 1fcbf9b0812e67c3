package swarm

import (
	"cmp"
	"slices"
)

// MaxNeighbours bounds the boxes of the own site to which a box keeps a link.
const MaxNeighbours = 12

// Neighbours returns the boxes to which self keeps links: up to MaxNeighbours of its own site, in rendezvous order.
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

// pairScore is the same seen from both ends, so that neighbourhood is mostly mutual.
func pairScore(a, b string) uint64 {
	return score(min(a, b), 0, max(a, b))
}
