package fill

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/link"
)

const (
	// reportInterval is how often the state of a server with requests is read, and the minimum interval between reports of
	// non-urgent changes. loadingInterval applies while the server drains or loads, idleInterval while it has no requests.
	reportInterval  = 100 * time.Millisecond
	loadingInterval = 50 * time.Millisecond
	idleInterval    = 200 * time.Millisecond
	// maxReportInterval is the longest interval between reports.
	maxReportInterval = 500 * time.Millisecond
	// timerSlack is how early a report may be, since timers are not exact.
	timerSlack = 10 * time.Millisecond
	// turnHorizon is how far ahead a load turn is reported, turnResolution to what precision.
	turnHorizon    = 4 * time.Second
	turnResolution = 50 * time.Millisecond
	// coldResolution is the precision, rounded up, of the reported time for which the server stays cold.
	coldResolution = 500 * time.Millisecond
	// readyResolution is the precision of the reported time until the server runs the target version.
	readyResolution = 250 * time.Millisecond
)

// runReports reads the server's state and reports changes to entries, until ctx ends.
func (b *Box) runReports(ctx context.Context) error {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	var last link.Report
	var sent time.Time
	for {
		stateCtx, cancel := context.WithTimeout(ctx, stateTimeout)
		state, err := b.cfg.Engine.State(stateCtx)
		cancel()
		b.setState(state, err)
		report, ok := b.newReport()
		age := clock.Since(sent)
		if ok && (urgent(report, last) || report != last && age >= reportInterval-timerSlack || age >= maxReportInterval) {
			b.links.broadcastReport(&report)
			last, sent = report, clock.Now()
			b.links.chooseRelay()
			b.links.sendEntryHosts()
		}
		timer.Reset(b.stateInterval())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// stateInterval returns the time until the server's state is read again.
func (b *Box) stateInterval() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.draining || b.state.Busy || b.active != nil && b.active.accepted:
		return loadingInterval
	case b.state.Running+b.state.Waiting > 0 || b.stateAt.IsZero():
		return reportInterval
	default:
		return idleInterval
	}
}

// urgent reports whether entries need a change at once.
func urgent(report, last link.Report) bool {
	return report.Closing != last.Closing || report.HasAllPieces != last.HasAllPieces || report.Leaving != last.Leaving || report.Limited != last.Limited ||
		report.ColdLeft > last.ColdLeft || report.Version != last.Version || report.Server != last.Server || report.Born != last.Born
}

// setState records the server's state; a server that does not answer keeps its last known state.
func (b *Box) setState(state State, err error) {
	if err != nil {
		return
	}
	b.mu.Lock()
	if b.state.isRestart(state) {
		b.resetAfterRestart(state)
	}
	b.staging.observe(state.Seq)
	changed := b.state.Busy != state.Busy || len(b.state.Loaded) != len(state.Loaded)
	for model, version := range state.Loaded {
		if b.state.Loaded[model] != version {
			changed = true
			b.log.WithField("model", model).WithField("version", int64(version)).Info("fill: the server runs a version")
		}
	}
	if old := b.state.Pushback; state.Pushback != old {
		b.log.WithFields(log.Fields{"leaving": state.Pushback.Leaving, "limited": state.Pushback.Limited, "limit": state.Pushback.Limit}).
			Info("fill: the server asks its callers for something else")
	}
	b.state, b.stateAt = state, clock.Now()
	b.mu.Unlock()
	if state.Running+state.Waiting > 0 {
		b.pacer.Charge(1)
	}
	if changed {
		b.wake()
	}
}

// newReport returns the current report; ok is false while the server does not answer or is not listed.
func (b *Box) newReport() (report link.Report, ok bool) {
	id := b.serverID()
	b.mu.Lock()
	defer b.mu.Unlock()
	if id == "" || clock.Since(b.stateAt) > stateTimeout {
		return link.Report{}, false
	}
	report = link.Report{
		Server: id, Born: b.state.Born, Running: b.state.Running, Waiting: b.state.Waiting, Used: b.state.PinnedTokens, Slowdown: b.state.Slowdown,
		Closing: b.draining || b.state.Busy, ColdLeft: roundUp(b.state.ColdLeft, coldResolution),
		Leaving: b.state.Pushback.Leaving, Limited: b.state.Pushback.Limited, Limit: b.state.Pushback.Limit,
	}
	report.Entries, report.EntryWeight = b.links.entries()
	if !b.loadAt.IsZero() {
		report.ClosesIn = reportedTurn(clock.Until(b.loadAt))
	}
	if cfg := b.cfg.View.Config(); cfg != nil {
		report.Revision = cfg.Revision
	}
	report.ReadyIn = b.timeToReady(clock.Now()).Round(readyResolution)
	report.HasAllPieces = b.pending != nil || b.active != nil && b.active.feed != nil && b.active.feed.Complete()
	for model, version := range b.state.Loaded {
		report.Model, report.Version = model, int64(version)
	}
	return report, true
}

// roundUp rounds a duration up to a multiple of the resolution.
func roundUp(d, resolution time.Duration) time.Duration {
	return (d + resolution - 1).Truncate(resolution)
}

// reportedTurn returns the time until a load turn as reported; 0 while it is far off. A turn that is due or has passed
// is reported as turnResolution: with 0, entries would assume that the server stays open longest.
func reportedTurn(left time.Duration) time.Duration {
	if left >= turnHorizon {
		return 0
	}
	return max(left.Round(turnResolution), turnResolution)
}

// timeToReady estimates the time until the server runs the target version; 0 when it does or that is unknown. mu is held.
func (b *Box) timeToReady(now time.Time) time.Duration {
	u := b.active
	if u == nil || u.feed == nil || b.state.Loaded[u.model] >= u.version {
		return 0
	}
	left, known := u.feed.TimeLeft(now)
	if !known {
		return 0
	}
	return max(left, b.loadAt.Sub(now)) + usualLoadTime
}

// sendReport sends entries a report now.
func (b *Box) sendReport() {
	if report, ok := b.newReport(); ok {
		b.links.broadcastReport(&report)
	}
}
