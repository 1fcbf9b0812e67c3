package report

import (
	"fmt"
	"io"
	"strconv"
)

const (
	// shortagePercent is the percentage of refused requests from which a slot of time counts as one of shortage; fewer are refused in calm
	// times too, while a server leaves.
	shortagePercent = 5
	// unranked names requests for services whose requests don't differ in rank.
	unranked = "none"
)

// callerCounts are the counts of one slot of time by the request's rank, its team, and the entry that it reached.
type callerCounts struct {
	ranks, teams, entries map[string]*Counts
}

// addCaller counts a request by its rank, team and entry in its slot.
func (r *Report) addCaller(l line) {
	if r.callers == nil {
		r.callers = make(map[int64]*callerCounts)
	}
	n := l.At.UnixNano() / int64(r.width)
	c := r.callers[n]
	if c == nil {
		c = &callerCounts{}
		r.callers[n] = c
	}
	rank := unranked
	if l.Rank != nil {
		rank = strconv.Itoa(*l.Rank)
	}
	getOrCreate(&c.ranks, rank, newCounts).add(l)
	getOrCreate(&c.teams, l.Team, newCounts).add(l)
	getOrCreate(&c.entries, l.Node, newCounts).add(l)
}

// merge adds the counts of another slot.
func (c *callerCounts) merge(other *callerCounts) {
	mergeCounts(&c.ranks, other.ranks)
	mergeCounts(&c.teams, other.teams)
	mergeCounts(&c.entries, other.entries)
}

func mergeCounts(into *map[string]*Counts, from map[string]*Counts) {
	for name, counts := range from {
		getOrCreate(into, name, newCounts).merge(*counts)
	}
}

// widenCallers merges pairs of slots after the width has doubled.
func (r *Report) widenCallers() {
	old := r.callers
	r.callers = make(map[int64]*callerCounts, len(old))
	for n, counts := range old {
		into := r.callers[n/2]
		if into == nil {
			into = &callerCounts{}
			r.callers[n/2] = into
		}
		into.merge(counts)
	}
}

// shortages returns the slots of shortage and the counts in them by who asked.
func (r *Report) shortages() (slots []int64, by callerCounts) {
	for _, slot := range r.sortedSlots() {
		if c := r.slotCounts(slot); c.percent(c.Refused) >= shortagePercent {
			slots = append(slots, slot)
			by.merge(r.callers[slot])
		}
	}
	return slots, by
}

// writeShortages writes the counts by rank, team, site and entry over the slots of shortage: who waits and who pays. Nothing without any.
func (r *Report) writeShortages(w io.Writer) {
	slots, by := r.shortages()
	if len(slots) == 0 {
		return
	}
	header(w, fmt.Sprintf("who waits and who pays: %d times of %s with %d in 100 refused or more", len(slots), r.width, shortagePercent), "\t")
	sites := make(map[string]*Counts)
	for node, counts := range by.entries {
		getOrCreate(&sites, r.sites[node], newCounts).merge(*counts)
	}
	for _, part := range []struct {
		title string
		of    map[string]*Counts
	}{{"by rank", by.ranks}, {"by team", by.teams}, {"by site", sites}, {"by entry", by.entries}} {
		r.writeCounts(w, "then "+part.title, part.of)
	}
}
