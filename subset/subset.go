package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// nearLeast is how many boxes of its own site an entry keeps to at least. An entry of some 25 requests a second has 10 to 15 of
	// them in progress, of which a server takes 8 to 16: 24 servers leave it a choice while a quarter of them load.
	nearLeast = 24
	// farLeast is how many of other sites, for when its own has no room; all of a fleet of 20 boxes fit in both.
	farLeast = 16
	// nearShares and farShares are how many times its share of all boxes an entry keeps to at least, where there are many boxes an
	// entry: every box is then heard by several entries, also when some of them are lost.
	nearShares = 3
	farShares  = 1
)

// Box is a box by the host that it is reached at, and its site.
type Box struct {
	Host string
	Site string
}

// Chosen is a box that an entry keeps to, and for how many entries the entry stands there: as many as would have to choose among
// the boxes of that site, or of the other sites, until one is likely to choose this one.
type Chosen struct {
	Box
	Weight float64
}

// Choose returns the boxes that an entry of a site keeps to, in no order; entries is how many entries there are, as far as it
// knows, 0 for not at all. Entries choose by rendezvous hashing, each alone: they do not know each other, a box that comes or goes
// changes one place, and every box is chosen by about as many entries.
func Choose(entry, site string, boxes []Box, entries int) []Chosen {
	var near, far []Box
	for _, box := range boxes {
		if box.Site == site {
			near = append(near, box)
		} else {
			far = append(far, box)
		}
	}
	share := 0
	if entries > 0 {
		share = (len(boxes) + entries - 1) / entries
	}
	return append(first(entry, near, max(nearLeast, nearShares*share)), first(entry, far, max(farLeast, farShares*share))...)
}

// first returns the first boxes of an entry's own order.
func first(entry string, boxes []Box, most int) []Chosen {
	weight := 1.0
	if len(boxes) > most {
		weight = float64(len(boxes)) / float64(most)
		slices.SortFunc(boxes, func(a, b Box) int { return cmp.Compare(score(entry, b), score(entry, a)) })
		boxes = boxes[:most]
	}
	chosen := make([]Chosen, len(boxes))
	for i, box := range boxes {
		chosen[i] = Chosen{Box: box, Weight: weight}
	}
	return chosen
}

func score(entry string, box Box) uint64 { return xxhash.Sum64String(entry + "/" + box.Host) }
