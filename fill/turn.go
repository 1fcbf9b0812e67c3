package fill

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usualFetchTime is how long after a version is named all boxes usually hold its pieces; no load turn is earlier.
	usualFetchTime = 2700 * time.Millisecond
	// usualLoadTime is how long loading usually takes.
	usualLoadTime = 500 * time.Millisecond
	// loadMargin is the time between the last load turn and the version's deadline; entries send a server nothing after its turn.
	loadMargin = 1100 * time.Millisecond
)

// Turn returns when a server that runs an older version gets its load order: turns are spread evenly by rank from when the
// pieces are usually fetched until a margin before the deadline. Each server computes its turn from the list alone.
func Turn(named, deadline time.Time, rank, n int) time.Time {
	from, to := named.Add(usualFetchTime), deadline.Add(-loadMargin)
	if !to.After(from) || n < 2 {
		return from
	}
	return from.Add(to.Sub(from) * time.Duration(rank) / time.Duration(n-1))
}

// Rank returns the place of a box's server among the hosts of its service, and their number. It is the same for every
// version, so that a server gets successive versions at constant intervals.
func Rank(host string, hosts []string) (rank, n int) {
	own := loadPlace(host)
	for _, other := range hosts {
		if other != host && loadPlace(other) < own {
			rank++
		}
	}
	return rank, max(len(hosts), 1)
}

// loadPlace returns a hash that orders the boxes by when their servers load.
func loadPlace(host string) uint64 { return xxhash.Sum64String(host) }
