package report

import (
	"cmp"
	"maps"
	"regexp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxSlots bounds the time slots; beyond it pairs of slots are merged.
	maxSlots = 1200
	// maxNames bounds the distinct routes, teams, reasons and daemons; the rest count under otherName.
	maxNames  = 200
	otherName = "(other)"
	// loadBucket is the width, in requests at a server, of the buckets of prediction errors.
	loadBucket = 4
	maxLoad    = 64
)

// Report collects statistics from logs; the zero Report is ready to use.
type Report struct {
	width time.Duration
	slots map[int64]map[string]*Counts
	// callers are the counts of each slot, as in slots, by rank, team and entry.
	callers map[int64]*callerCounts
	total   Counts
	routes  map[string]*routeStats
	teams   map[string]*Counts
	// entries are the counts by entry, reasons the numbers of unanswered requests by reason.
	entries    map[string]*Counts
	reasons    map[string]int
	loads      [maxLoad/loadBucket + 1]loadStats
	versions   map[int64]*versionTimes
	daemons    map[string]*daemonStats
	sites      map[string]string
	lines      int
	unreadable int
	faults     []Fault
}

// routeStats are a route's request counts and times to the first event.
type routeStats struct {
	Counts
	firstEvent *hdrhistogram.Histogram
}

// loadStats are the prediction errors at servers with a similar number of requests.
type loadStats struct {
	n         int
	deviation *hdrhistogram.Histogram
	early     int
	reportAge *hdrhistogram.Histogram
}

// versionTimes are the periods in which boxes targeted, held and ran a version.
type versionTimes struct {
	targeted, held, running timeSpan
}

// timeSpan is the number of events of a kind, and the times of the first and the last.
type timeSpan struct {
	first, last time.Time
	n           int
}

func (s *timeSpan) add(at time.Time) {
	if s.n == 0 || at.Before(s.first) {
		s.first = at
	}
	if at.After(s.last) {
		s.last = at
	}
	s.n++
}

type daemonStats struct {
	starts, stops, storeLost, ejections int
	first, last                         time.Time
}

// variableParts matches server IDs and numbers, which differ between otherwise equal reasons.
var variableParts = regexp.MustCompile(`\bi-[0-9a-f]+|[0-9]+(\.[0-9]+)*(ms|s)?`)

func (r *Report) addLine(l line) {
	r.lines++
	r.addDaemonLine(l)
	switch l.Msg {
	case "request":
		if l.Route != "" {
			r.addRequest(l)
		}
	case "fill: a version is aimed at":
		r.version(l.Version).targeted.add(l.At)
	case "fill: all pieces are held":
		r.version(l.Version).held.add(l.At)
	case "fill: the server runs a version":
		r.version(l.Version).running.add(l.At)
	}
}

func (r *Report) addRequest(l line) {
	r.total.add(l)
	r.slot(l.At, l.Route).add(l)
	r.addCaller(l)
	stats := getOrCreate(&r.routes, l.Route, func() *routeStats { return &routeStats{firstEvent: newHistogram()} })
	stats.add(l)
	getOrCreate(&r.teams, l.Team, newCounts).add(l)
	getOrCreate(&r.entries, l.Node, newCounts).add(l)
	if l.Outcome == outcomeAnswered {
		recordTime(stats.firstEvent, l.FirstEvent)
		if l.Attempts == 1 && l.Predicted > 0 {
			r.addPrediction(l)
		}
		return
	}
	reason := l.Outcome
	if l.Cause != "" {
		reason += ": " + variableParts.ReplaceAllString(l.Cause, "#")
	}
	if r.reasons == nil {
		r.reasons = make(map[string]int)
	}
	if _, known := r.reasons[reason]; !known && len(r.reasons) >= maxNames {
		reason = otherName
	}
	r.reasons[reason]++
}

// addPrediction records the error of a prediction under the load that the entry assumed at the server.
func (r *Report) addPrediction(l line) {
	stats := &r.loads[min(l.Decoding+l.Prefilling, maxLoad)/loadBucket]
	if stats.n == 0 {
		stats.deviation, stats.reportAge = newHistogram(), newHistogram()
	}
	stats.n++
	deviation := l.FirstEvent - l.Predicted
	if deviation < 0 {
		stats.early++
		deviation = -deviation
	}
	recordTime(stats.deviation, deviation)
	recordTime(stats.reportAge, l.ReportAge)
}

// addDaemonLine counts starts, stops, losses of the store and ejections.
func (r *Report) addDaemonLine(l line) {
	d := getOrCreate(&r.daemons, l.Node, func() *daemonStats { return &daemonStats{first: l.At} })
	d.last = l.At
	switch l.Msg {
	case "daemon: started":
		d.starts++
		if r.sites == nil {
			r.sites = make(map[string]string)
		}
		if len(r.sites) < maxNames {
			r.sites[l.Node] = l.Site
		}
	case "daemon: stopped":
		d.stops++
	case "view: the store is lost":
		d.storeLost++
	case "forward: server ejected":
		d.ejections++
	}
}

// version returns the times of a version; beyond maxNames versions they are not kept.
func (r *Report) version(n int64) *versionTimes {
	if r.versions == nil {
		r.versions = make(map[int64]*versionTimes)
	}
	v := r.versions[n]
	if v == nil {
		v = &versionTimes{}
		if len(r.versions) < maxNames {
			r.versions[n] = v
		}
	}
	return v
}

// slot returns the counts of a route at a time; it widens the slots when there are too many.
func (r *Report) slot(at time.Time, name string) *Counts {
	if r.slots == nil {
		r.slots, r.width = make(map[int64]map[string]*Counts), time.Second
	}
	for len(r.slots) >= maxSlots {
		r.widen()
	}
	n := at.UnixNano() / int64(r.width)
	routes := r.slots[n]
	if routes == nil {
		routes = make(map[string]*Counts)
		r.slots[n] = routes
	}
	return getOrCreate(&routes, name, newCounts)
}

// widen doubles the width of the slots.
func (r *Report) widen() {
	old := r.slots
	r.slots, r.width = make(map[int64]map[string]*Counts, len(old)), 2*r.width
	for n, routes := range old {
		into := r.slots[n/2]
		if into == nil {
			into = make(map[string]*Counts)
			r.slots[n/2] = into
		}
		for name, counts := range routes {
			getOrCreate(&into, name, newCounts).merge(*counts)
		}
	}
	r.widenCallers()
}

func newCounts() *Counts { return &Counts{} }

// getOrCreate returns the value of a name, creating it if absent; beyond maxNames names it uses otherName.
func getOrCreate[T any](of *map[string]*T, name string, create func() *T) *T {
	if *of == nil {
		*of = map[string]*T{}
	}
	if t := (*of)[name]; t != nil {
		return t
	}
	if len(*of) >= maxNames {
		name = otherName
		if t := (*of)[name]; t != nil {
			return t
		}
	}
	t := create()
	(*of)[name] = t
	return t
}

// bySite returns the counts by the site of the entry.
func (r *Report) bySite() map[string]*Counts {
	sites := make(map[string]*Counts)
	for node, counts := range r.entries {
		getOrCreate(&sites, r.sites[node], newCounts).merge(*counts)
	}
	return sites
}

func (r *Report) sortedSlots() []int64 { return slices.Sorted(maps.Keys(r.slots)) }

// slotCounts returns the counts of all routes in a slot.
func (r *Report) slotCounts(slot int64) Counts {
	var sum Counts
	for _, counts := range r.slots[slot] {
		sum.merge(*counts)
	}
	return sum
}

// byCount returns the names by descending count.
func byCount(of map[string]int) []string {
	return slices.SortedFunc(maps.Keys(of), func(a, b string) int {
		return cmp.Or(cmp.Compare(of[b], of[a]), cmp.Compare(a, b))
	})
}
