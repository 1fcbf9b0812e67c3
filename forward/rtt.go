package forward

import (
	"context"
	"slices"
	"time"

	"github.com/coralstair/coralstair/clock"
)

const (
	// Round trips are measured every rttInterval while a box fetches the pieces of a newer version. Samples are valid for
	// rttTTL, a probe fails after rttTimeout, and rttSamples are considered together.
	rttInterval = 300 * time.Millisecond
	rttTTL      = 1200 * time.Millisecond
	rttTimeout  = 4 * time.Second
	rttSamples  = 7
	// maxLowRTT is the longest round trip of an uncongested link; on a slower one, chunks may delay a request by
	// seconds.
	maxLowRTT = 100 * time.Millisecond
)

// rttWindow holds the latest round-trip times of the link to a server's box.
type rttWindow struct {
	samples   [rttSamples]time.Duration
	count     int
	sampledAt time.Time
	// probeSentAt is when the outstanding probe was sent; zero if there is none.
	probeSentAt time.Time
}

// isLow reports whether all recent round trips were short and no probe is overdue.
func (w rttWindow) isLow(now time.Time) bool {
	if w.count == 0 || now.Sub(w.sampledAt) > rttTTL || !w.probeSentAt.IsZero() && now.Sub(w.probeSentAt) > maxLowRTT {
		return false
	}
	return slices.Max(w.samples[:]) < maxLowRTT
}

// delay returns the current delay of the link, 0 while it is uncongested or not measured.
func (w rttWindow) delay(now time.Time) time.Duration {
	var delay time.Duration
	if w.count > 0 && now.Sub(w.sampledAt) < rttTTL {
		delay = w.samples[(w.count-1)%rttSamples]
	}
	if !w.probeSentAt.IsZero() {
		delay = max(delay, now.Sub(w.probeSentAt))
	}
	if delay < maxLowRTT {
		return 0
	}
	return delay
}

func (w rttWindow) withSample(sample time.Duration, at time.Time) rttWindow {
	w.samples[w.count%rttSamples] = sample
	w.count++
	w.sampledAt, w.probeSentAt = at, time.Time{}
	return w
}

// measureRTTs measures round trips to boxes that fetch a new version, until ctx ends: a congested link might delay a
// request past the deadline of the server's current version.
func (bl *boxLinks) measureRTTs(ctx context.Context) error {
	ticker := time.NewTicker(rttInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for l, up := range bl.linksToMeasure(clock.Now()) {
			go bl.measureRTT(ctx, l, up)
		}
	}
}

// linksToMeasure returns the links to measure with their servers, and marks them as being measured.
func (bl *boxLinks) linksToMeasure(now time.Time) map[*boxLink]*upstream {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	links := make(map[*boxLink]*upstream)
	for _, l := range bl.links {
		if up := bl.entry.upstreams.byServer(l.server); up != nil && !l.measuring && bl.entry.isFetchingUpdate(up, now) {
			l.measuring = true
			links[l] = up
		}
	}
	return links
}

// isFetchingUpdate reports whether a server runs an outdated version while its box fetches the pieces of a newer one.
func (e *Entry) isFetchingUpdate(up *upstream, now time.Time) bool {
	up.mu.Lock()
	model, version, filled := up.report.Model, up.version("", now), up.filled(now)
	up.mu.Unlock()
	if filled || version == 0 {
		return false
	}
	_, older := e.cfg.View.VersionDeadline(model, version)
	return older
}

func (bl *boxLinks) measureRTT(ctx context.Context, l *boxLink, up *upstream) {
	sent := clock.Now()
	up.updateRTT(func(w *rttWindow) { w.probeSentAt = sent })
	ctx, cancel := context.WithTimeout(ctx, rttTimeout)
	defer cancel()
	rtt, err := l.conn.RoundTrip(ctx)
	if err != nil {
		rtt = clock.Since(sent)
	}
	up.updateRTT(func(w *rttWindow) { *w = w.withSample(rtt, clock.Now()) })
	bl.mu.Lock()
	defer bl.mu.Unlock()
	l.measuring = false
}

// linkDelay returns the current delay of the link to the server, 0 while it is uncongested or not measured.
func (u *upstream) linkDelay(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.rtt.delay(now)
}

func (u *upstream) updateRTT(change func(w *rttWindow)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.rtt)
}
