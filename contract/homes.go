package contract

import (
	"slices"
	"strings"
)

// Homes is the set of regions in which a request may be served; the zero value holds all regions.
type Homes struct {
	limited bool
	// regions are sorted.
	regions []string
}

// HomesOf returns the homes of a request by its route and its team, which may be nil. Where both have homes, each of them binds.
func HomesOf(route *Route, team *Team) Homes {
	homes := newHomes(route.Homes)
	if team == nil || len(team.Homes) == 0 {
		return homes
	}
	own := newHomes(team.Homes)
	if !homes.limited {
		return own
	}
	return Homes{limited: true, regions: slices.DeleteFunc(homes.regions, func(region string) bool { return !own.Allow(region) })}
}

func newHomes(regions []string) Homes {
	return Homes{limited: len(regions) > 0, regions: slices.Compact(slices.Sorted(slices.Values(regions)))}
}

// Allow reports whether the request may be served in a region.
func (h Homes) Allow(region string) bool {
	return !h.limited || slices.Contains(h.regions, region)
}

// Limited reports whether any region is excluded.
func (h Homes) Limited() bool { return h.limited }

// Empty reports whether the request may be served in no region at all.
func (h Homes) Empty() bool { return h.limited && len(h.regions) == 0 }

// String returns the regions, separated by commas; it is empty if all are allowed.
func (h Homes) String() string { return strings.Join(h.regions, ",") }
