package swarm

// MaxPartners bounds the links that a box opens for a Feed.
const MaxPartners = 48

// sourceRanks is how many boxes of a site link to each group's sources in other sites: the gateway and one backup.
const sourceRanks = 2

// Partners returns the boxes to which self opens links: the cross-site sources of its groups as gateway, its neighbours
// in its own site, then the sources of its groups as backup. Linking to the whole site would multiply announcements.
func (o *Order) Partners(self Member) []Member {
	p := partnerSet{seen: map[string]bool{self.ID: true}}
	p.addSources(o, self, 0)
	for _, neighbour := range Neighbours(self, o.members) {
		p.add(neighbour)
	}
	for rank := 1; rank < sourceRanks; rank++ {
		p.addSources(o, self, rank)
	}
	return p.members
}

type partnerSet struct {
	members []Member
	seen    map[string]bool
}

func (p *partnerSet) add(member Member) {
	if !p.seen[member.ID] && len(p.members) < MaxPartners {
		p.seen[member.ID] = true
		p.members = append(p.members, member)
	}
}

// addSources adds the sources of the groups for which self has the given rank within its site.
func (p *partnerSet) addSources(o *Order, self Member, rank int) {
	for group := range o.Groups() {
		if _, site := o.Ranks(group, self); site != rank {
			continue
		}
		for _, source := range o.Sources(group, self.Site) {
			p.add(source)
		}
	}
}
