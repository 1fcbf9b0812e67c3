package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minLocalBoxes is the minimum number of boxes of the entry's own site; it leaves a choice while some servers load.
	// An entry with 25 requests a second has 10 to 15 in progress and a server takes 8 to 16, so that this many are enough while a quarter of
	// them load.
	minLocalBoxes = 24
	// minRemoteBoxes is the minimum number of boxes of other sites, used when the own site has no capacity.
	// Both together hold all boxes of a fleet of 20.
	minRemoteBoxes = 16
	// minRegionBoxes is the minimum number of boxes of each other region where requests may be bound to regions.
	minRegionBoxes = 8
	// localShares and remoteShares are the minimum selections as multiples of boxes per entry. In a fleet with many boxes per
	// entry each box then stays selected by several entries, even if some entries fail.
	localShares  = 3
	remoteShares = 1
)

// Box identifies a box by its host, its site and the site's region.
type Box struct {
	Host   string
	Site   string
	Region string
}

// Fleet describes what an entry knows of the fleet when it selects its boxes.
type Fleet struct {
	// Entries is the number of entries, 0 if unknown.
	Entries int
	// BoundToRegions says that some requests may be served in some regions only, so that each region must be selected from.
	BoundToRegions bool
}

// Selected is a selected box with its weight, the inverse of the probability that an entry selects the box. Summed over the
// entries of a box, the weights estimate the number of all entries.
type Selected struct {
	Box
	Weight float64
}

// Choose selects the boxes of an entry at a site, in no particular order.
// It uses rendezvous hashing, so that entries need no coordination, a box that is added or removed changes at most one
// selected box, and each box is selected by about the same number of entries.
func Choose(entry, site string, boxes []Box, fleet Fleet) []Selected {
	var local, remote []Box
	byRegion := make(map[string][]Box)
	for _, box := range boxes {
		if box.Site == site {
			local = append(local, box)
			continue
		}
		remote = append(remote, box)
		byRegion[box.Region] = append(byRegion[box.Region], box)
	}
	share := 0
	if fleet.Entries > 0 {
		share = (len(boxes) + fleet.Entries - 1) / fleet.Entries
	}
	selected := selectTop(entry, local, max(minLocalBoxes, localShares*share))
	if !fleet.BoundToRegions || len(remote) <= minRemoteBoxes {
		return append(selected, selectTop(entry, remote, max(minRemoteBoxes, remoteShares*share))...)
	}
	perRegion := max(minRegionBoxes, max(minRemoteBoxes, remoteShares*share)/len(byRegion))
	for _, group := range byRegion {
		selected = append(selected, selectTop(entry, group, perRegion)...)
	}
	return selected
}

// selectTop returns the boxes with the highest scores for an entry, at most limit.
func selectTop(entry string, boxes []Box, limit int) []Selected {
	weight := 1.0
	if len(boxes) > limit {
		weight = float64(len(boxes)) / float64(limit)
		slices.SortFunc(boxes, func(a, b Box) int { return cmp.Compare(score(entry, b), score(entry, a)) })
		boxes = boxes[:limit]
	}
	chosen := make([]Selected, len(boxes))
	for i, box := range boxes {
		chosen[i] = Selected{Box: box, Weight: weight}
	}
	return chosen
}

func score(entry string, box Box) uint64 { return xxhash.Sum64String(entry + "/" + box.Host) }
