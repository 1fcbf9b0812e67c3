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

// Quantiles that tables show, in percent.
const (
	median = 50
	upper  = 95
	top    = 99
	// shownReasons is how many reasons are listed.
	shownReasons = 20
)

// Text writes the report as tables of plain text.
func (r *Report) Text(to io.Writer) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.writeSummary(w)
	r.writeCounts(w, "by site", r.bySite())
	r.writeCounts(w, "by entry", r.entries)
	r.writeCounts(w, "by team", r.teams)
	r.writeRoutes(w)
	r.writeTimes(w)
	r.writeReasons(w)
	r.writeLoads(w)
	r.writeVersions(w)
	r.writeDaemons(w)
	return w.Flush()
}

// countsHead names the columns that writeRow fills.
const countsHead = "\tasked\tin time %\tlate %\trefused %\tfailed %\tgone %\treturns\tserved of them %\t"

func writeRow(w io.Writer, name string, c *Counts) {
	served := 0.0
	if c.Returns > 0 {
		served = 100 * float64(c.Served) / float64(c.Returns)
	}
	_, _ = fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%.1f\t\n",
		name, c.Asked, c.share(c.InTime), c.share(c.Late), c.share(c.Refused), c.share(c.Failed), c.share(c.Gone), c.Returns, served)
}

// head begins a table.
func head(w io.Writer, title, columns string) { _, _ = fmt.Fprintf(w, "\n%s%s\n", title, columns) }

func (r *Report) writeSummary(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d lines, %d of them not read\n", r.lines+r.unread, r.unread)
	for _, f := range r.faults {
		_, _ = fmt.Fprintf(w, "not read: %s\n", f)
	}
	head(w, "tries", countsHead)
	writeRow(w, "all", &r.total)
}

func (r *Report) writeCounts(w io.Writer, title string, of map[string]*Counts) {
	head(w, title, countsHead)
	for _, name := range slices.Sorted(maps.Keys(of)) {
		writeRow(w, name, of[name])
	}
}

func (r *Report) writeRoutes(w io.Writer) {
	head(w, "by route", countsHead+"first ms, median\t95 in 100\t99 in 100\t")
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		at := r.routes[name]
		writeRow(w, name, &at.Counts)
		_, _ = fmt.Fprintf(w, "\t\t\t\t\t\t\t\t\t%s\t\n", quantiles(at.first))
	}
}

// quantiles returns the shown quantiles of a histogram, as columns.
func quantiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("%d\t%d\t%d", h.ValueAtQuantile(median), h.ValueAtQuantile(upper), h.ValueAtQuantile(top))
}

func (r *Report) writeTimes(w io.Writer) {
	head(w, fmt.Sprintf("by time (%s)", r.width), countsHead)
	for _, slot := range r.times() {
		c := r.at(slot)
		writeRow(w, r.begins(slot).Format(time.TimeOnly), &c)
	}
}

// begins returns when a slot begins.
func (r *Report) begins(slot int64) time.Time { return time.Unix(0, slot*int64(r.width)).UTC() }

func (r *Report) writeReasons(w io.Writer) {
	head(w, "not answered, by reason", "\ttries\t")
	for i, reason := range largest(r.reasons) {
		if i == shownReasons {
			break
		}
		_, _ = fmt.Fprintf(w, "%s\t%d\t\n", reason, r.reasons[reason])
	}
}

func (r *Report) writeLoads(w io.Writer) {
	head(w, "predictions, by load", "\tanswers\tearly %\toff ms, median\t95 in 100\t99 in 100\treports ms old, median\t95 in 100\t99 in 100\t")
	for i, at := range r.loads {
		if at.n > 0 {
			_, _ = fmt.Fprintf(w, "%d to %d\t%d\t%.0f\t%s\t%s\t\n", i*loadStep, i*loadStep+loadStep-1, at.n,
				100*float64(at.early)/float64(at.n), quantiles(at.off), quantiles(at.reportAge))
		}
	}
}

func (r *Report) writeVersions(w io.Writer) {
	head(w, "versions", "\taimed at\tfirst\tlast\theld\tfirst\tlast\trun\tfirst\tlast\t")
	for _, n := range slices.Sorted(maps.Keys(r.versions)) {
		v := r.versions[n]
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t\n", n, v.aimed, v.held, v.runs)
	}
}

// String gives a band as columns.
func (b band) String() string {
	if b.n == 0 {
		return "0\t-\t-"
	}
	return fmt.Sprintf("%d\t%s\t%s", b.n, b.first.Format(time.TimeOnly), b.last.Format(time.TimeOnly))
}

func (r *Report) writeDaemons(w io.Writer) {
	head(w, "daemons", "\tstarts\tstops\tstore lost\tservers left alone\tfirst line\tlast line\t")
	for _, name := range slices.Sorted(maps.Keys(r.daemons)) {
		d := r.daemons[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%s\t%s\t\n", name, d.starts, d.stops, d.storeLost, d.leftAlone,
			d.first.Format(time.TimeOnly), d.last.Format(time.TimeOnly))
	}
}
