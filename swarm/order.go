package swarm

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxGroups bounds the chunk groups of a version, and with them the permits written to the table.
const MaxGroups = 128

// MaxPermits is the number of draws from the origin that a chunk group allows.
const MaxPermits = 4

// Member is a box that takes part in a rollout.
type Member struct {
	ID   string
	Site string
}

// Order is the rendezvous order of the boxes for each chunk group: the first draws the
// group from the origin, the first of each site is that site's home for it.
type Order struct {
	chunks  int
	members []Member
	ranked  [][]int
}

// NewOrder computes the order for a version with that many chunks and that salt.
func NewOrder(salt string, chunks int, members []Member) *Order {
	o := &Order{chunks: chunks, members: slices.Clone(members)}
	slices.SortFunc(o.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	o.ranked = make([][]int, o.Groups())
	shares := newShares(o.members, o.Groups())
	for group := range o.ranked {
		o.ranked[group] = shares.front(rank(salt, group, o.members))
	}
	return o
}

// Group returns the group of a chunk.
func (o *Order) Group(chunk int) int {
	return chunk * o.Groups() / o.chunks
}

// Groups returns the number of chunk groups.
func (o *Order) Groups() int {
	return min(o.chunks, MaxGroups)
}

// Homes returns the first box of each site for a group, the site of the drawer first.
func (o *Order) Homes(group int) []Member {
	var homes []Member
	seen := make(map[string]bool)
	for _, i := range o.ranked[group] {
		member := o.members[i]
		if !seen[member.Site] {
			seen[member.Site] = true
			homes = append(homes, member)
		}
	}
	return homes
}

// Places returns a box's place, from 0, among all boxes and among those of its site; -1 for a box that takes no part.
func (o *Order) Places(group int, self Member) (all, site int) {
	for place, i := range o.ranked[group] {
		if o.members[i].ID == self.ID {
			return place, site
		}
		if o.members[i].Site == self.Site {
			site++
		}
	}
	return -1, -1
}

// Sources returns the boxes in other sites from which the home of a site takes a group:
// the home of its parent site in a binary tree over the sites, then the drawer. The drawer's own site has the next
// home as its source, for the case that the drawer was replaced and others hold what it once drew.
func (o *Order) Sources(group int, site string) []Member {
	homes := o.Homes(group)
	place := slices.IndexFunc(homes, func(m Member) bool { return m.Site == site })
	if place < 0 || len(homes) < 2 {
		return nil
	}
	if place == 0 {
		return homes[1:2]
	}
	parent := (place - 1) / 2
	if parent == 0 {
		return homes[:1]
	}
	return []Member{homes[parent], homes[0]}
}

// rank returns the indexes of the members in the rendezvous order of a group.
func rank(salt string, group int, members []Member) []int {
	scores := make([]uint64, len(members))
	order := make([]int, len(members))
	for i, member := range members {
		scores[i] = score(salt, uint64(group), member.ID)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// score is the same at every box.
func score(salt string, n uint64, id string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], n)
	_, _ = digest.WriteString(salt)
	_, _ = digest.Write(number[:])
	_, _ = digest.WriteString(id)
	return digest.Sum64()
}
