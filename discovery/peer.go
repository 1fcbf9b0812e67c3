package discovery

import (
	"time"

	"github.com/coralstair/coralstair/contract"
)

// Peers report the configuration revision that they know. A newer one than the local one means that the local feed is late, or that
// the store was restored from a backup and this daemon has started since.

const (
	// peerRevisionTTL is how long a newer revision known to peers counts as in force without being read: after a restore operators
	// write the lost revisions again within seconds.
	peerRevisionTTL = 30 * time.Second
	// startupWindow is how long after its first configuration a daemon counts as recently started; maxFeedLag is how far its feed may
	// lag behind its peers in that time; changes in quick succession are read up to 0.5 s apart.
	startupWindow = 10 * time.Second
	maxFeedLag    = 600 * time.Millisecond
)

// peerRevision is the newest revision known to peers; since is when peers were first ahead of this daemon.
type peerRevision struct {
	revision contract.Revision
	since    time.Time
}

// ObservePeerRevision records a configuration revision that a peer knows.
func (v *View) ObservePeerRevision(revision contract.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision <= v.newestPeer.revision {
		return
	}
	if !v.behindPeers() {
		v.newestPeer.since = v.now()
	}
	v.newestPeer.revision = revision
}

// Outdated reports whether this daemon started recently and knows only an older configuration than its peers. It must not serve with
// that configuration, since keys may have been revoked since.
func (v *View) Outdated() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	now := v.now()
	return v.behindPeers() && now.Sub(v.configuredAt) < startupWindow && now.Sub(v.newestPeer.since) > maxFeedLag
}

// behindPeers reports whether peers know a newer configuration; mu is held.
func (v *View) behindPeers() bool {
	return v.config != nil && v.config.Revision < v.newestPeer.revision && v.now().Sub(v.newestPeer.since) < peerRevisionTTL
}
