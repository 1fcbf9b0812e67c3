package swarm

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// MaxGroups bounds the chunk groups of a version, and so the permits written to the table.
const MaxGroups = 128

// MaxPermits is the number of downloads from the origin allowed per chunk group.
const MaxPermits = 4

// Member is a box in a rollout.
type Member struct {
	ID   string
	Site string
}

// Order ranks the boxes for each chunk group by rendezvous hashing. The first box downloads the group from the origin;
// the first of each site is the site's gateway, which fetches the group from another site.
type Order struct {
	chunks  int
	members []Member
	ranked  [][]int
}

// NewOrder computes the order for a version; boxes with the same arguments get the same order.
func NewOrder(salt string, chunks int, members []Member) *Order {
	o := &Order{chunks: chunks, members: slices.Clone(members)}
	slices.SortFunc(o.members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	o.ranked = make([][]int, o.Groups())
	balancer := newRankBalancer(o.members, o.Groups())
	for group := range o.ranked {
		o.ranked[group] = balancer.promote(rankMembers(salt, group, o.members))
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

// Gateways returns the gateway of each site for a group, the downloader's site first.
func (o *Order) Gateways(group int) []Member {
	var gateways []Member
	seen := make(map[string]bool)
	for _, i := range o.ranked[group] {
		member := o.members[i]
		if !seen[member.Site] {
			seen[member.Site] = true
			gateways = append(gateways, member)
		}
	}
	return gateways
}

// Ranks returns a box's rank, from 0, among all boxes and within its site; -1 for a box that is not a member.
func (o *Order) Ranks(group int, self Member) (all, site int) {
	for rank, i := range o.ranked[group] {
		if o.members[i].ID == self.ID {
			return rank, site
		}
		if o.members[i].Site == self.Site {
			site++
		}
	}
	return -1, -1
}

// ahead returns the boxes whose ranks for a group are lower than the given one, so that they download before it.
func (o *Order) ahead(group, rank int) []Member {
	var members []Member
	for _, i := range o.ranked[group][:max(rank, 0)] {
		members = append(members, o.members[i])
	}
	return members
}

// Sources returns the boxes in other sites from which a site's gateway fetches a group: the gateway of the parent in a binary
// tree of sites, then the downloader. The downloader's site uses the next gateway, since a replaced downloader may lack
// chunks that others hold.
func (o *Order) Sources(group int, site string) []Member {
	gateways := o.Gateways(group)
	index := slices.IndexFunc(gateways, func(m Member) bool { return m.Site == site })
	if index < 0 || len(gateways) < 2 {
		return nil
	}
	if index == 0 {
		return gateways[1:2]
	}
	parent := (index - 1) / 2
	if parent == 0 {
		return gateways[:1]
	}
	return []Member{gateways[parent], gateways[0]}
}

// rankMembers returns the indexes of the members in the rendezvous order of a group.
func rankMembers(salt string, group int, members []Member) []int {
	scores := make([]uint64, len(members))
	order := make([]int, len(members))
	for i, member := range members {
		scores[i] = score(salt, uint64(group), member.ID)
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// score is a hash that is the same on every box.
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
