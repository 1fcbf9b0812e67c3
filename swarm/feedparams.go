package swarm

import (
	"cmp"
	"time"
)

// FeedParams are the settings of a Feed; a zero field takes its default.
type FeedParams struct {
	// StartDelay is how long a box waits for its peers' announcements before it downloads anything.
	StartDelay time.Duration
	// RankDelay is how long no piece may arrive before the next rank fetches across sites or downloads.
	RankDelay time.Duration
	// RequestTimeout is how long a peer with requests may send nothing.
	RequestTimeout time.Duration
	// MaxRequests bounds the window of requests in flight.
	MaxRequests int
	// MaxDownloads bounds the concurrent downloads from the origin.
	MaxDownloads int
	// DownloadInterval is the origin link's time for one piece. Over all boxes, pieces are downloaded one after the other, so that
	// the first can be forwarded at once.
	DownloadInterval time.Duration
}

// Defaults of FeedParams.
const (
	DefaultStartDelay         = 80 * time.Millisecond
	DefaultFeedRankDelay      = 300 * time.Millisecond
	DefaultFeedRequestTimeout = time.Second
	DefaultFeedMaxDownloads   = 2
	DefaultFeedMaxRequests    = 6

	// faultPause is how long a peer that did not deliver gets no requests.
	faultPause = time.Second
	// A piece slower than highLatency shrinks the window, one faster than lowLatency grows it: pieces queued on a narrow link
	// would delay the callers' requests behind them.
	highLatency    = 600 * time.Millisecond
	lowLatency     = 250 * time.Millisecond
	initialWindow  = 2
	shrinkInterval = 200 * time.Millisecond
	// maxStalls bounds how far consecutive stalls extend the request timeout.
	maxStalls = 3
	// lagSmoothing is the inverse weight of the newest piece in the mean lag.
	lagSmoothing = 8
	// initialLag is the mean lag before the first piece.
	initialLag = 300 * time.Millisecond
	// maxBackupRank is the rank from which boxes of lower ranks that are gone are not looked for: so many rarely end together that such a
	// box would have to stand in.
	maxBackupRank = 2 * MaxPermits
	// minSeenPart: a slot counts as passed if at most one in so many of the pieces before it is held by no box.
	minSeenPart = 4
	// slowPause is how long a slow peer is asked only for pieces that no other holds.
	slowPause = 4 * time.Second
)

func (p FeedParams) withDefaults() FeedParams {
	p.StartDelay = cmp.Or(p.StartDelay, DefaultStartDelay)
	p.RankDelay = cmp.Or(p.RankDelay, DefaultFeedRankDelay)
	p.RequestTimeout = cmp.Or(p.RequestTimeout, DefaultFeedRequestTimeout)
	p.MaxRequests = cmp.Or(p.MaxRequests, DefaultFeedMaxRequests)
	p.MaxDownloads = cmp.Or(p.MaxDownloads, DefaultFeedMaxDownloads)
	return p
}

// DownloadTime returns the time from the start of a version until all its pieces are downloaded; 0 if the origin's rate is
// unknown.
func (p FeedParams) DownloadTime(pieces int) time.Duration {
	if p.DownloadInterval <= 0 {
		return 0
	}
	return p.withDefaults().StartDelay + time.Duration(pieces)*p.DownloadInterval
}
