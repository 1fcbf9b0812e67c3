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

	// Pulls is how many chunks may be asked for at a time in all.
	Pulls int
	// PullsPerPeer is how many chunks may be asked of one box at a time.
	PullsPerPeer int
	// Draws is how many chunks may be drawn from the origin at a time.
	Draws int
	// Patience is the least time after which an unanswered ask counts as stalled.
	Patience time.Duration
	// RankWait is how much longer each later rank waits before it draws or fetches across sites.
	RankWait time.Duration
	// FaultPause is how long a box at fault twice is left alone.
	FaultPause time.Duration
}

// Defaults of Params.
const (
	DefaultPulls        = 4
	DefaultPullsPerPeer = 2
	DefaultDraws        = 1
	DefaultPatience     = 2 * time.Second
	DefaultRankWait     = 3 * time.Second
	DefaultFaultPause   = 30 * time.Second

	// patienceFactor times the usual time of a chunk is how long an ask may take.
	patienceFactor = 6
	// smoothing is the weight of the newest chunk in the usual time.
	smoothing = 0.2
	// faultsBeforePause is the number of faults after which a box is left alone.
	faultsBeforePause = 2
	// timeRanks is how many boxes draw each group without waiting when time weighs more.
	timeRanks = MaxPermits
)

func (p Params) withDefaults() Params {
	p.Pulls = cmp.Or(p.Pulls, DefaultPulls)
	p.PullsPerPeer = cmp.Or(p.PullsPerPeer, DefaultPullsPerPeer)
	p.Draws = cmp.Or(p.Draws, DefaultDraws)
	p.Patience = cmp.Or(p.Patience, DefaultPatience)
	p.RankWait = cmp.Or(p.RankWait, DefaultRankWait)
	p.FaultPause = cmp.Or(p.FaultPause, DefaultFaultPause)
	return p
}
