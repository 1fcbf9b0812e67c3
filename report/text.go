package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The reported quantiles, in percent.
const (
	p50 = 50
	p95 = 95
	p99 = 99
	// maxReasons bounds the listed reasons.
	maxReasons = 20
)

// Text writes the report as plain-text tables.
func (r *Report) Text(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.writeSummary(w)
	r.writeCounts(w, "by site", r.bySite())
	r.writeCounts(w, "by entry", r.entries)
	r.writeCounts(w, "by team", r.teams)
	r.writeRoutes(w)
	r.writeTimes(w)
	r.writeShortages(w)
	r.writeReasons(w)
	r.writeLoads(w)
	r.writeVersions(w)
	r.writeDaemons(w)
	return w.Flush()
}

// countsHeader has the columns of writeRow.
const countsHeader = "\tasked\tin time %\tlate %\trefused %\tfailed %\tgone %\treturns\tserved of them %\t"

func writeRow(w io.Writer, name string, c *Counts) {
	served := 0.0
	if c.Retries > 0 {
		served = 100 * float64(c.RetriesAnswered) / float64(c.Retries)
	}
	_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.1f\t\n",
		name, c.Requests, c.percent(c.InTime), c.percent(c.Late), c.percent(c.Refused), c.percent(c.Failed), c.percent(c.CallerGone), c.Retries, served)
}

// header starts a table.
func header(w io.Writer, title, columns string) { _, _ = fmt.Fprintf(w, "\n%s%s\n", title, columns) }

func (r *Report) writeSummary(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d lines, %d of them not read\n", r.lines+r.unreadable, r.unreadable)
	for _, f := range r.faults {
		_, _ = fmt.Fprintf(w, "not read: %s\n", f)
	}
	header(w, "tries", countsHeader)
	writeRow(w, "all", &r.total)
}

func (r *Report) writeCounts(w io.Writer, title string, of map[string]*Counts) {
	header(w, title, countsHeader)
	for _, name := range slices.Sorted(maps.Keys(of)) {
		writeRow(w, name, of[name])
	}
}

func (r *Report) writeRoutes(w io.Writer) {
	header(w, "by route", countsHeader+"first ms, median\t95 in 100\t99 in 100\t")
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		stats := r.routes[name]
		writeRow(w, name, &stats.Counts)
		_, _ = fmt.Fprintf(w, "\t\t\t\t\t\t\t\t\t%s\t\n", quantiles(stats.firstEvent))
	}
}

// quantiles formats the quantiles of a histogram as columns.
func quantiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%d\t%d\t%d", h.ValueAtQuantile(p50), h.ValueAtQuantile(p95), h.ValueAtQuantile(p99))
}

func (r *Report) writeTimes(w io.Writer) {
	header(w, fmt.Sprintf("by time (%s)", r.width), countsHeader)
	for _, slot := range r.sortedSlots() {
		c := r.slotCounts(slot)
		writeRow(w, r.slotStart(slot).Format(time.TimeOnly), &c)
	}
}

func (r *Report) slotStart(slot int64) time.Time { return time.Unix(0, slot*int64(r.width)).UTC() }

func (r *Report) writeReasons(w io.Writer) {
	header(w, "not answered, by reason", "\ttries\t")
	for i, reason := range byCount(r.reasons) {
		if i == maxReasons {
			break
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t\n", reason, r.reasons[reason])
	}
}

func (r *Report) writeLoads(w io.Writer) {
	header(w, "predictions, by load", "\tanswers\tearly %\toff ms, median\t95 in 100\t99 in 100\treports ms old, median\t95 in 100\t99 in 100\t")
	for i, stats := range r.loads {
		if stats.n > 0 {
			_, _ = fmt.Fprintf(w, "%d to %d\t%d\t%.0f\t%s\t%s\t\n", i*loadBucket, i*loadBucket+loadBucket-1, stats.n,
				100*float64(stats.early)/float64(stats.n), quantiles(stats.deviation), quantiles(stats.reportAge))
		}
	}
}

func (r *Report) writeVersions(w io.Writer) {
	header(w, "versions", "\taimed at\tfirst\tlast\theld\tfirst\tlast\trun\tfirst\tlast\t")
	for _, n := range slices.Sorted(maps.Keys(r.versions)) {
		v := r.versions[n]
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t\n", n, v.targeted, v.held, v.running)
	}
}

// String formats the number, the first and the last time as columns.
func (s timeSpan) String() string {
	if s.n == 0 {
		return "0\t-\t-"
	}
	return fmt.Sprintf("%d\t%s\t%s", s.n, s.first.Format(time.TimeOnly), s.last.Format(time.TimeOnly))
}

func (r *Report) writeDaemons(w io.Writer) {
	header(w, "daemons", "\tstarts\tstops\tstore lost\tservers left alone\tfirst line\tlast line\t")
	for _, name := range slices.Sorted(maps.Keys(r.daemons)) {
		d := r.daemons[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", name, d.starts, d.stops, d.storeLost, d.ejections,
			d.first.Format(time.TimeOnly), d.last.Format(time.TimeOnly))
	}
}
