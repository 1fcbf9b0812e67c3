package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/allowance"
	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/pushback"
)

// Response headers carry a server's pushback immediately; its list entry and its box's reports follow later or leave
// it out. State is kept for each incarnation of a server; evaluate and tryAcquire check it, and every attempt passes
// through both.

// applyPushback applies the pushback in a response header. A 421 response is skipped: it comes from another server
// than the one addressed.
func (a *attempt) applyPushback() {
	if a.resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	signal, e := a.reply.Pushback, a.call.entry
	a.choice.upstream.recordCold(a.reply.ColdLeft, clock.Now())
	if !a.choice.upstream.applyPushback(signal, a.inFlight.sent, clock.Now(), e.limitSharers()) {
		return
	}
	pushbacks.Inc()
	e.log.WithFields(log.Fields{
		"server": a.choice.server.ID, "leaving": signal.Leaving, "rest_ms": signal.Pause.Milliseconds(), "limited": signal.Limited, "limit": signal.Limit,
	}).Info("forward: a server asks its callers for something else")
}

// applyPushback applies the pushback in the response to a request sent at that time, and reports whether it has changed.
func (u *upstream) applyPushback(signal pushback.Signal, sent, now time.Time, entries int) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	changed := signal != u.lastPushback
	u.lastPushback = signal
	u.announcedLeave = u.announcedLeave || signal.Leaving
	if until := now.Add(signal.Pause); signal.Pause > 0 && until.After(u.pausedUntil) {
		u.pausedUntil = until
	}
	u.applyLimit(signal, sent, now, entries)
	return changed
}

// isLeaving reports whether the server takes no more requests, by its list entry or by a response. A response counts
// for the whole incarnation: list entries may be late or come from an old copy. mu is held.
func (u *upstream) isLeaving() bool { return u.server.Leaving || u.announcedLeave }

// applyReportedPushback applies the pushback in a report of the server's box. A report without a limit lifts only a
// limit that a report has set, as boxes need not know of limits in responses. mu is held.
func (u *upstream) applyReportedPushback(report link.Report, entries int, now time.Time) {
	u.announcedLeave = u.announcedLeave || report.Leaving
	if report.Limited || u.report.Limited {
		signal := pushback.Signal{Limited: report.Limited, Limit: report.Limit}
		u.applyLimit(signal, now, now, entries)
	}
}

// applyLimit sets or lifts the limit, by the response to a request sent at that time. mu is held.
func (u *upstream) applyLimit(signal pushback.Signal, sent, now time.Time, entries int) {
	u.limit = u.limit.With(signal, pushback.Receipt{Sent: sent, Received: now, Share: u.limitShare(entries), Phase: rand.Float64()})
}

// availableIn returns the time until the server accepts another request of this entry; 0 for now. Servers that ask
// for a pause are skipped even when most do: idle as they are, they would look cheapest, and each refusal draws on the
// retry budget. mu is held.
func (u *upstream) availableIn(entries int, now time.Time) time.Duration {
	share := u.limitShare(entries)
	return max(u.limit.Wait(now, share), u.currentCold(entries, now).Wait(now, share), u.pausedUntil.Sub(now), 0)
}

// limitShare returns this entry's fraction of the server's limit; 0 outside its subset, so that other entries can use
// all of it. mu is held.
func (u *upstream) limitShare(entries int) float64 {
	return allowance.Fraction(u.weight, entries)
}

// limitSharers returns the number of entries that share a server's limit, the most of the last window: what those that are
// gone have sent still counts. During start-up, when entries don't know all others yet, it is at least the default.
func (e *Entry) limitSharers() int {
	entries := e.budget.MostEntries(clock.Now())
	if clock.Since(e.startedAt) < entryCountDelay {
		return allowance.InDoubt(entries)
	}
	return entries
}

// availableIn returns the time until some server of a service, other than the excluded ones, accepts a request of this
// entry with these homes; 0 if there is none.
func (e *Entry) availableIn(service string, homes contract.Homes, excluded map[string]bool, now time.Time) time.Duration {
	soonest, entries := time.Duration(-1), e.limitSharers()
	for _, ups := range [][]*upstream{e.upstreams.preferred(service), e.upstreams.fallback(service)} {
		for _, up := range ups {
			up.mu.Lock()
			in, skip, site := up.availableIn(entries, now), up.isLeaving() || excluded[up.server.ID], up.server.Site
			up.mu.Unlock()
			if _, may := e.mayServe(homes, site); !may {
				continue
			}
			if !skip && (soonest < 0 || in < soonest) {
				soonest = in
			}
		}
	}
	return max(soonest, 0)
}
