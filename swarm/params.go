package swarm

import (
	"cmp"
	"time"

	"github.com/coralstair/coralstair/fleet"
)

// Params are the settings of a node; a zero field takes its default.
type Params struct {
	Self   Member
	Prefer fleet.Preference

	// MaxRequests bounds the chunk requests in flight to all peers.
	MaxRequests int
	// MaxRequestsPerPeer bounds the chunk requests in flight to one peer.
	MaxRequestsPerPeer int
	// MaxDownloads bounds the concurrent downloads from the origin.
	MaxDownloads int
	// RequestTimeout is the shortest time after which an unanswered request counts as stalled.
	RequestTimeout time.Duration
	// RankDelay is the extra delay of each rank before it downloads from the origin or fetches across sites.
	RankDelay time.Duration
	// FaultPause is how long a peer gets no requests after repeated faults.
	FaultPause time.Duration
}

// Defaults of Params.
const (
	DefaultMaxRequests        = 4
	DefaultMaxRequestsPerPeer = 2
	DefaultMaxDownloads       = 1
	DefaultRequestTimeout     = 2 * time.Second
	DefaultRankDelay          = 3 * time.Second
	DefaultFaultPause         = 30 * time.Second

	// timeoutFactor times the mean time of a chunk is the request timeout.
	timeoutFactor = 6
	// ewmaWeight is the weight of the newest sample in moving averages.
	ewmaWeight = 0.2
	// faultsBeforePause is the number of faults after which a peer is paused.
	faultsBeforePause = 2
	// immediateRanks is how many ranks download each group without delay in a fleet that prefers time.
	immediateRanks = MaxPermits
)

func (p Params) withDefaults() Params {
	p.MaxRequests = cmp.Or(p.MaxRequests, DefaultMaxRequests)
	p.MaxRequestsPerPeer = cmp.Or(p.MaxRequestsPerPeer, DefaultMaxRequestsPerPeer)
	p.MaxDownloads = cmp.Or(p.MaxDownloads, DefaultMaxDownloads)
	p.RequestTimeout = cmp.Or(p.RequestTimeout, DefaultRequestTimeout)
	p.RankDelay = cmp.Or(p.RankDelay, DefaultRankDelay)
	p.FaultPause = cmp.Or(p.FaultPause, DefaultFaultPause)
	return p
}
