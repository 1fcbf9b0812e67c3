package forward

import (
	"math"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/link"
)

// takeRetry takes one more attempt of the request from the service's retry budget and reports whether one was left. It is optional
// for a request that is in progress elsewhere, or whose caller would get a definite answer without it; mu is held.
func (c *call) takeRetry(optional bool) bool {
	now, take := clock.Now(), c.entry.budget.TakeRetry
	switch {
	case optional && c.ranked && c.rank > 0 && c.entry.admission.Of(c.pool()).Contended():
		take = c.entry.budget.TakeLessUrgentRetry
	case optional:
		take = c.entry.budget.TakeOptionalRetry
	}
	taken := take(c.service.Name, now)
	usage := c.entry.budget.Usage(c.service.Name, now)
	line := c.entry.log.WithFields(log.Fields{
		"id": c.info.ID, "service": c.service.Name, "requests": usage.Requests, "retries": usage.Retries,
		"allowed": math.Floor(usage.Allowed), "entries": usage.Entries,
	})
	switch {
	case taken:
		line.Info("forward: retry taken")
	case !c.budgetRefused:
		c.budgetRefused = true
		line.WithField("optional", optional).Info("forward: retry refused by the budget")
	}
	return taken
}

// updateEntryCount sets the number of entries that share the retry budget from a box's report: the most entries connected to one box
// or the mean total weight per box, whichever is larger.
func (bl *boxLinks) updateEntryCount(address string, report *link.Report) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if l := bl.links[address]; l != nil {
		l.server = report.Server
	}
	count := entryCount{connected: report.Entries, weighted: report.EntryWeight}
	if bl.entryCounts[address] == count {
		return
	}
	bl.entryCounts[address] = count
	most, sum := 1, 0.0
	for _, count := range bl.entryCounts {
		most = max(most, count.connected)
		sum += count.weighted
	}
	bl.setEntryCount(max(most, int(math.Round(sum/float64(len(bl.entryCounts))))))
}

// setEntryCount sets the number of entries that share the retry budget and logs a change; mu is held.
func (bl *boxLinks) setEntryCount(n int) {
	before := bl.entry.budget.Entries()
	bl.entry.budget.SetEntries(n, clock.Now())
	if n == before {
		return
	}
	bl.entry.log.WithFields(log.Fields{"entries": n, "before": before, "boxes": len(bl.entryCounts)}).
		Info("forward: the number of entries has changed")
}

// entryCount is the number of entries connected to a box, and the total weight of these.
type entryCount struct {
	connected int
	weighted  float64
}
