package swarm

import "testing"

func TestPartners(t *testing.T) {
	members := testMembers(90, 3)
	order := NewOrder("salt", feedPieces, members)
	for _, self := range members {
		partners := order.Partners(self)
		if len(partners) > MaxPartners {
			t.Fatalf("%s opens %d links", self.ID, len(partners))
		}
		known := map[string]bool{}
		for _, partner := range partners {
			known[partner.ID] = true
		}
		for group := range order.Groups() {
			if _, site := order.Ranks(group, self); site != 0 {
				continue
			}
			for _, source := range order.Sources(group, self.Site) {
				if !known[source.ID] {
					t.Errorf("%s fetches group %d across sites and has no link to its source %s", self.ID, group, source.ID)
				}
			}
		}
	}
}
