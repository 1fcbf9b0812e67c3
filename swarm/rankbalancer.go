package swarm

import "slices"

// rankBalancer evens out the first ranks: with rendezvous hashing alone some boxes would be gateway or downloader of several
// times as many groups as others, and the slowest box bounds the rollout.
type rankBalancer struct {
	members     []Member
	gatewayCap  map[string]int
	downloadCap int
	gateways    []int
	downloads   []int
}

func newRankBalancer(members []Member, groups int) *rankBalancer {
	b := &rankBalancer{
		members: members, gatewayCap: make(map[string]int),
		gateways: make([]int, len(members)), downloads: make([]int, len(members)),
	}
	boxes := make(map[string]int)
	for _, member := range members {
		boxes[member.Site]++
	}
	for site, n := range boxes {
		b.gatewayCap[site] = (groups + n - 1) / n
	}
	if len(members) > 0 {
		b.downloadCap = (groups + len(members) - 1) / len(members)
	}
	return b
}

// promote moves to the front the first box of each site that is below its gateway cap, and of these the first that is below
// the download cap to the first rank.
func (b *rankBalancer) promote(order []int) []int {
	var gateways []int
	chosen := make(map[string]bool)
	for _, i := range order {
		site := b.members[i].Site
		if !chosen[site] && b.gateways[i] < b.gatewayCap[site] {
			chosen[site] = true
			b.gateways[i]++
			gateways = append(gateways, i)
		}
	}
	if len(gateways) == 0 {
		return order
	}
	first := b.pickDownloader(gateways)
	b.downloads[gateways[first]]++
	front := append([]int{gateways[first]}, slices.Delete(slices.Clone(gateways), first, first+1)...)
	for _, i := range order {
		if !slices.Contains(gateways, i) {
			front = append(front, i)
		}
	}
	return front
}

// pickDownloader returns the index of the first gateway below the download cap, or of the one with the fewest downloads.
func (b *rankBalancer) pickDownloader(gateways []int) int {
	fewest := 0
	for index, i := range gateways {
		if b.downloads[i] < b.downloadCap {
			return index
		}
		if b.downloads[i] < b.downloads[gateways[fewest]] {
			fewest = index
		}
	}
	return fewest
}
