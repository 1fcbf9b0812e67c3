package fill

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// fillTime is how long after a version is named its pieces are usually everywhere: no wave begins before.
	fillTime = 2700 * time.Millisecond
	// loadTime is what loading usually takes.
	loadTime = 500 * time.Millisecond
	// loadMargin is how long before the bound the last server gets its order: entries send it nothing more from then on.
	loadMargin = 1100 * time.Millisecond
)

// Turn returns when a server that runs an older version gets its order: the servers of a service come one after the
// other, by rank, from when the pieces are usually everywhere until a margin before the bound. Each server works this
// out alone; they need not agree on more than the list.
func Turn(named, due time.Time, rank, n int) time.Time {
	from, to := named.Add(fillTime), due.Add(-loadMargin)
	if !to.After(from) || n < 2 {
		return from
	}
	return from.Add(to.Sub(from) * time.Duration(rank) / time.Duration(n-1))
}

// Rank returns the place of the server beside a box among those of its service, by the hosts of the boxes, and their number.
// It is the same for every version, so that versions named in quick succession reach a server at the same distance.
func Rank(host string, hosts []string) (rank, n int) {
	own := place(host)
	for _, other := range hosts {
		if other != host && place(other) < own {
			rank++
		}
	}
	return rank, max(len(hosts), 1)
}

// place orders the hosts of boxes by when their servers load.
func place(host string) uint64 { return xxhash.Sum64String(host) }
