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
	// maxSlots bounds the slots of time that are kept: beyond it two become one.
	maxSlots = 1200
	// maxNames bounds the routes, teams, reasons and daemons that are told apart; the rest count as other.
	maxNames = 200
	other    = "(other)"
	// loadStep is how many requests at a server count as one load in the prediction's error.
	loadStep = 4
	maxLoad  = 64
)

// Report collects what logs tell; the zero Report is ready to use.
type Report struct {
	width  time.Duration
	slots  map[int64]map[string]*Counts
	total  Counts
	routes map[string]*route
	teams  map[string]*Counts
	// entries are the counts of each entry, reasons those of requests that were not answered.
	entries  map[string]*Counts
	reasons  map[string]int
	loads    [maxLoad/loadStep + 1]load
	versions map[int64]*version
	daemons  map[string]*daemon
	sites    map[string]string
	lines    int
	unread   int
	faults   []Fault
}

// route is what became of the requests of one route, and how long their first events took.
type route struct {
	Counts
	first *hdrhistogram.Histogram
}

// load is how far predictions were off at servers with so many requests.
type load struct {
	n         int
	off       *hdrhistogram.Histogram
	early     int
	reportAge *hdrhistogram.Histogram
}

// version is the way of one version: when boxes aimed at it, held it and ran it.
type version struct {
	aimed, held, runs band
}

// band is from when to when something happened, and how often.
type band struct {
	first, last time.Time
	n           int
}

func (b *band) add(at time.Time) {
	if b.n == 0 || at.Before(b.first) {
		b.first = at
	}
	if at.After(b.last) {
		b.last = at
	}
	b.n++
}

// daemon counts what one daemon went through.
type daemon struct {
	starts, stops, storeLost, leftAlone int
	first, last                         time.Time
}

// numbers are what differs between reasons that are alike.
var numbers = regexp.MustCompile(`\bi-[0-9a-f]+|[0-9]+(\.[0-9]+)*(ms|s)?`)

// take counts a line.
func (r *Report) take(l line) {
	r.lines++
	r.noteDaemon(l)
	switch l.Msg {
	case "request":
		if l.Route != "" {
			r.takeRequest(l)
		}
	case "fill: a version is aimed at":
		r.version(l.Version).aimed.add(l.At)
	case "fill: all pieces are held":
		r.version(l.Version).held.add(l.At)
	case "fill: the server runs a version":
		r.version(l.Version).runs.add(l.At)
	}
}

// takeRequest counts a request.
func (r *Report) takeRequest(l line) {
	r.total.add(l)
	r.slot(l.At, l.Route).add(l)
	at := named(&r.routes, l.Route, func() *route { return &route{first: newTimes()} })
	at.add(l)
	named(&r.teams, l.Team, newCounts).add(l)
	named(&r.entries, l.Node, newCounts).add(l)
	if l.Outcome == outcomeAnswered {
		record(at.first, l.First)
		if l.Attempts == 1 && l.Predicted > 0 {
			r.takePrediction(l)
		}
		return
	}
	reason := l.Outcome
	if l.Cause != "" {
		reason += ": " + numbers.ReplaceAllString(l.Cause, "#")
	}
	if r.reasons == nil {
		r.reasons = make(map[string]int)
	}
	if _, known := r.reasons[reason]; !known && len(r.reasons) >= maxNames {
		reason = other
	}
	r.reasons[reason]++
}

// takePrediction notes by how much a prediction was off, by the load that was believed at the server.
func (r *Report) takePrediction(l line) {
	at := &r.loads[min(l.Writing+l.Reading, maxLoad)/loadStep]
	if at.n == 0 {
		at.off, at.reportAge = newTimes(), newTimes()
	}
	at.n++
	off := l.First - l.Predicted
	if off < 0 {
		at.early++
		off = -off
	}
	record(at.off, off)
	record(at.reportAge, l.ReportAge)
}

// noteDaemon counts starts and losses.
func (r *Report) noteDaemon(l line) {
	d := named(&r.daemons, l.Node, func() *daemon { return &daemon{first: l.At} })
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
		d.leftAlone++
	}
}

// version returns what is known of a version.
func (r *Report) version(n int64) *version {
	if r.versions == nil {
		r.versions = make(map[int64]*version)
	}
	v := r.versions[n]
	if v == nil {
		v = &version{}
		if len(r.versions) < maxNames {
			r.versions[n] = v
		}
	}
	return v
}

// slot returns the counts of a route at a time; when there are too many slots, two become one.
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
	return named(&routes, name, newCounts)
}

// widen makes slots twice as long.
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
			named(&into, name, newCounts).plus(*counts)
		}
	}
}

func newCounts() *Counts { return &Counts{} }

// named returns the entry of a name, or that of all others when there are too many.
func named[T any](of *map[string]*T, name string, create func() *T) *T {
	if *of == nil {
		*of = map[string]*T{}
	}
	if t := (*of)[name]; t != nil {
		return t
	}
	if len(*of) >= maxNames {
		name = other
		if t := (*of)[name]; t != nil {
			return t
		}
	}
	t := create()
	(*of)[name] = t
	return t
}

// bySite returns the counts of the entries of each site.
func (r *Report) bySite() map[string]*Counts {
	sites := make(map[string]*Counts)
	for node, counts := range r.entries {
		named(&sites, r.sites[node], newCounts).plus(*counts)
	}
	return sites
}

// times returns the slots in order.
func (r *Report) times() []int64 { return slices.Sorted(maps.Keys(r.slots)) }

// at returns all requests of a slot.
func (r *Report) at(slot int64) Counts {
	var sum Counts
	for _, counts := range r.slots[slot] {
		sum.plus(*counts)
	}
	return sum
}

// largest returns names by how often they came, the most first.
func largest(of map[string]int) []string {
	return slices.SortedFunc(maps.Keys(of), func(a, b string) int {
		return cmp.Or(cmp.Compare(of[b], of[a]), cmp.Compare(a, b))
	})
}
