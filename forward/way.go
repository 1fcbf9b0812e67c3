package forward

import (
	"context"
	"slices"
	"time"

	"github.com/coralstair/coralstair/clock"
)

const (
	// wayEvery is how often the way to a server is measured whose box still takes pieces of a version that is soon due;
	// wayLife is how long the latest measurement counts, wayRecent how many count together.
	wayEvery  = 300 * time.Millisecond
	wayLife   = 1200 * time.Millisecond
	wayLimit  = 4 * time.Second
	wayRecent = 7
	// wayQuick is the longest way of a link that carries pieces as it should; on one that is slower the next pieces may hold
	// a request up by seconds.
	wayQuick = 100 * time.Millisecond
)

// way is how long the way to a server and back took, the latest few times.
type way struct {
	took [wayRecent]time.Duration
	n    int
	at   time.Time
	// asked is when the measurement that has not come back yet began; zero when there is none.
	asked time.Time
}

// quick reports whether the way was quick each time of late, and is not being waited for now.
func (w way) quick(now time.Time) bool {
	if w.n == 0 || now.Sub(w.at) > wayLife || !w.asked.IsZero() && now.Sub(w.asked) > wayQuick {
		return false
	}
	return slices.Max(w.took[:]) < wayQuick
}

// held returns how long the way holds a request up now, as far as it is measured; a quick way does not.
func (w way) held(now time.Time) time.Duration {
	var took time.Duration
	if w.n > 0 && now.Sub(w.at) < wayLife {
		took = w.took[(w.n-1)%wayRecent]
	}
	if !w.asked.IsZero() {
		took = max(took, now.Sub(w.asked))
	}
	if took < wayQuick {
		return 0
	}
	return took
}

// with returns the way with one more measurement.
func (w way) with(took time.Duration, at time.Time) way {
	w.took[w.n%wayRecent] = took
	w.n++
	w.at, w.asked = at, time.Time{}
	return w
}

// measureWays measures the ways to servers whose boxes take pieces of a version that is due, until ctx ends: what jams such
// a link holds requests up, so that they might begin after the bound.
func (rs *reports) measureWays(ctx context.Context) error {
	ticker := time.NewTicker(wayEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		for l, up := range rs.filling(clock.Now()) {
			go rs.measure(ctx, l, up)
		}
	}
}

// filling returns the links to boxes whose way is to be measured, with their servers, and marks them as being measured.
func (rs *reports) filling(now time.Time) map[*reportLink]*upstream {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	links := make(map[*reportLink]*upstream)
	for _, l := range rs.conns {
		if up := rs.entry.upstreams.byServer(l.server); up != nil && !l.asking && rs.entry.behind(up, now) {
			l.asking = true
			links[l] = up
		}
	}
	return links
}

// behind reports whether a server runs an older version while its box takes the pieces of a newer one.
func (e *Entry) behind(up *upstream, now time.Time) bool {
	up.mu.Lock()
	model, version, filled := up.report.Model, up.version("", now), up.filled(now)
	up.mu.Unlock()
	if filled || version == 0 {
		return false
	}
	_, older := e.cfg.View.Due(model, version)
	return older
}

func (rs *reports) measure(ctx context.Context, l *reportLink, up *upstream) {
	began := clock.Now()
	up.setWay(func(w *way) { w.asked = began })
	ctx, cancel := context.WithTimeout(ctx, wayLimit)
	defer cancel()
	took, err := l.conn.RoundTrip(ctx)
	if err != nil {
		took = clock.Since(began)
	}
	up.setWay(func(w *way) { *w = w.with(took, clock.Now()) })
	rs.mu.Lock()
	defer rs.mu.Unlock()
	l.asking = false
}

// setWay changes what is known of the way to the server.
func (u *upstream) setWay(change func(w *way)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	change(&u.way)
}
