package swarm

import "slices"

// shares keeps the first places even: rendezvous hashing alone would make some boxes home, or drawer, of several
// times as many groups as others, and the slowest box decides when a rollout is done.
type shares struct {
	members  []Member
	homeCap  map[string]int
	drawCap  int
	homes    []int
	drawings []int
}

func newShares(members []Member, groups int) *shares {
	s := &shares{
		members: members, homeCap: make(map[string]int),
		homes: make([]int, len(members)), drawings: make([]int, len(members)),
	}
	boxes := make(map[string]int)
	for _, member := range members {
		boxes[member.Site]++
	}
	for site, n := range boxes {
		s.homeCap[site] = (groups + n - 1) / n
	}
	if len(members) > 0 {
		s.drawCap = (groups + len(members) - 1) / len(members)
	}
	return s
}

// front moves the first box of each site that has not yet its share of homes to the front, and of these the first
// that has not yet its share of draws to the very front.
func (s *shares) front(order []int) []int {
	var homes []int
	home := make(map[string]bool)
	for _, i := range order {
		site := s.members[i].Site
		if !home[site] && s.homes[i] < s.homeCap[site] {
			home[site] = true
			s.homes[i]++
			homes = append(homes, i)
		}
	}
	if len(homes) == 0 {
		return order
	}
	drawer := s.drawer(homes)
	s.drawings[homes[drawer]]++
	front := append([]int{homes[drawer]}, slices.Delete(slices.Clone(homes), drawer, drawer+1)...)
	for _, i := range order {
		if !slices.Contains(homes, i) {
			front = append(front, i)
		}
	}
	return front
}

// drawer returns the place of the first home that has not yet its share of draws, or has the fewest.
func (s *shares) drawer(homes []int) int {
	fewest := 0
	for place, i := range homes {
		if s.drawings[i] < s.drawCap {
			return place
		}
		if s.drawings[i] < s.drawings[homes[fewest]] {
			fewest = place
		}
	}
	return fewest
}
