package soak

import (
	"testing"
	"time"
)

const (
	// regionLinkRate is the bandwidth between two regions in bytes per second.
	regionLinkRate = 21e6 / 8
	// configApplyLimit is the time in which a configuration must be in force.
	configApplyLimit = 2 * time.Second
)

// TestStartOfManyEntries guards against entries that each read the whole server list when they start together,
// which delays configuration changes on a region's link.
func TestStartOfManyEntries(t *testing.T) {
	const entries, started = 24, 5 * time.Second
	r, err := newRig(Options{Seed: 1, Daemon: buildDaemon(t), Dir: logDir(t, "start", 1), Entries: entries, Boxes: 4, Plain: 1, Unreachable: 3000}.withDefaults())
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	time.Sleep(started)
	read := float64(r.store.ListBytes()) / float64(len(sites))
	t.Logf("%.1f MB of the server list read per site", read/1e6)
	if bound := regionLinkRate * configApplyLimit.Seconds(); read > bound {
		t.Errorf("the %d entries of a site read %.1f MB of the server list; the link carries %.1f MB in %s", entries/len(sites), read/1e6, bound/1e6, configApplyLimit)
	}
}

const (
	// regionEntries is the number of entries that share the link of a region.
	regionEntries = 35
	// listingInterval is the time between server registrations when all servers start at once.
	listingInterval = time.Second / 400
)

// TestServersAndEntriesStartTogether guards against entries that each follow the growing server list
// while all servers start, and so exceed their share of the region's link.
func TestServersAndEntriesStartTogether(t *testing.T) {
	const entries, servers = 24, 3000
	r, err := newRig(Options{Seed: 1, Daemon: buildDaemon(t), Dir: logDir(t, "together", 1), Entries: entries, Boxes: 4, Plain: 1}.withDefaults())
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	var read []int64
	for began, n := time.Now(), 0; n < servers; time.Sleep(listingInterval) {
		for ; n < servers && time.Since(began) > time.Duration(n)*listingInterval; n++ {
			r.listServer(n)
		}
		read = append(read, r.store.ListBytes())
		for len(read) < int(time.Since(began)/listingInterval) {
			read = append(read, read[len(read)-1])
		}
	}
	most, window := int64(0), int(configApplyLimit/listingInterval)
	for i := window; i < len(read); i++ {
		most = max(most, read[i]-read[i-window])
	}
	each, bound := float64(most)/entries, regionLinkRate*configApplyLimit.Seconds()/regionEntries
	t.Logf("an entry read %.2f MB in %s, of at most %.2f MB", each/1e6, configApplyLimit, bound/1e6)
	if each > bound {
		t.Errorf("an entry read %.2f MB of the server list in %s; its share of the link is %.2f MB", each/1e6, configApplyLimit, bound/1e6)
	}
}
