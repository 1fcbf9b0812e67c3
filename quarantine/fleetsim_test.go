package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	fleetDuration = 30 * time.Second
	storeOutage   = 4 * time.Second
	// crashesUntilKnown is how many servers may exit until a part must be known, contactTime how long entries may take to learn of them.
	crashesUntilKnown = 5
	contactTime       = 3 * time.Second
	// maxLateSends is how many requests with a known part may still reach servers.
	maxLateSends = 3
	// minBegunShare is the least share of a caller's sound requests that must begin, of minCallerRequests or more.
	minBegunShare     = 0.5
	minCallerRequests = 20
	// confirmed and recent are the ages of a response that say that its server survives the prompt.
	confirmed = 250 * time.Millisecond
	recent    = time.Second
)

// fleetParams are the parameters of a simulated fleet of entries and servers.
type fleetParams struct {
	seed             uint64
	entries, servers int
	// soundPerS and badPerS are rates of requests without and with a bad part, killsPerS of exits for another reason.
	soundPerS, badPerS, killsPerS float64
	// groups is the number of callers, each with a prompt part of its own; bad parts come with that of caller 0, unless badCallers.
	groups int
	// badFirst puts the bad part first; no other part is shared with sound requests then but the caller's.
	badFirst bool
	badParts int
	// badCallers makes requests with bad parts come from all callers.
	badCallers bool
	// siteLoss makes half of the servers exit at once.
	siteLoss bool
	// restart makes an entry lose what it knows, storeAway the store unavailable for storeOutage.
	restart, storeAway bool
}

func drawFleet(t *rapid.T) fleetParams {
	return fleetParams{
		seed: rapid.Uint64().Draw(t, "seed"), entries: rapid.IntRange(1, 6).Draw(t, "entries"), servers: rapid.IntRange(12, 60).Draw(t, "servers"),
		soundPerS: rapid.Float64Range(20, 120).Draw(t, "sound"), badPerS: rapid.Float64Range(1, 16).Draw(t, "bad"),
		killsPerS: rapid.SampledFrom([]float64{0, 0, 0.2, 1}).Draw(t, "kills"), groups: rapid.IntRange(1, 20).Draw(t, "groups"),
		badFirst: rapid.Bool().Draw(t, "first"), badParts: rapid.IntRange(0, 1).Draw(t, "bad parts"), siteLoss: rapid.Bool().Draw(t, "site loss"), badCallers: rapid.Bool().Draw(t, "bad callers"),
		restart: rapid.Bool().Draw(t, "restart"),
	}
}

// fleetRequest is a request in flight at a server.
type fleetRequest struct {
	id      int
	entry   int
	parts   []string
	bad     string
	sentAt  time.Time
	begunAt time.Time
	lost    bool
	trial   bool
}

func (r *fleetRequest) answering() time.Duration {
	if r.begunAt.IsZero() {
		return 0
	}
	return time.Since(r.begunAt)
}

func (r *fleetRequest) partFingerprints() []Fingerprint {
	var all []Fingerprint
	for _, part := range r.parts {
		all = append(all, PartFingerprint(part))
	}
	return all
}

// fleet simulates entries that share their records, in front of servers that exit as they begin to respond to a prompt with a bad part. All
// its events run in one goroutine.
type fleet struct {
	fleetParams
	rng      *rand.Rand
	store    *sharedStore
	qs       []*Quarantine
	stops    []func()
	inFlight [][]*fleetRequest
	upAt     []time.Time
	starts   []int
	events   eventQueue
	next     int

	// inTouchFrom is when all entries are in touch again.
	inTouchFrom time.Time
	crashes     map[string][]time.Time
	late        map[string]int
	// callers counts sound requests by caller, if there are bad parts since one must be known; wrong are all that were refused.
	callers     map[string]*beginnings
	wrong, sent int
}

// beginnings counts requests whose response began, and those that were refused.
type beginnings struct{ begun, refused int }

type fleetEvent struct {
	at time.Time
	do func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []fleetEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(event any)    { *q = append(*q, event.(fleetEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{time.Now().Add(d), do})
}

// run runs the events in order until the end.
func (f *fleet) run() {
	for end := time.Now().Add(fleetDuration); len(f.events) > 0; {
		event := heap.Pop(&f.events).(fleetEvent)
		if event.at.After(end) {
			return
		}
		time.Sleep(time.Until(event.at))
		synctest.Wait()
		event.do()
	}
}

// every repeats do at random intervals with a mean rate.
func (f *fleet) every(perS float64, do func()) {
	if perS <= 0 {
		return
	}
	f.after(time.Duration(f.rng.ExpFloat64()/perS*float64(time.Second)), func() {
		do()
		f.every(perS, do)
	})
}

func (f *fleet) held(r *fleetRequest) bool {
	q := f.qs[r.entry]
	return q.Held(func() Fingerprint { return fingerprint(fmt.Sprint(r.id)) }) || q.HeldPrompt(r.partFingerprints)
}

func (f *fleet) known(bad string) bool {
	at := f.crashes[bad]
	return len(at) >= crashesUntilKnown && time.Since(at[crashesUntilKnown-1]) > contactTime
}

// anyKnownFor reports whether a bad part must be known for some time.
func (f *fleet) anyKnownFor(d time.Duration) bool {
	for _, at := range f.crashes {
		if len(at) >= crashesUntilKnown && time.Since(at[crashesUntilKnown-1]) > d {
			return true
		}
	}
	return false
}

// send sends a request to a random server; tries is how many are left.
func (f *fleet) send(r *fleetRequest, tries int) {
	if f.held(r) {
		if !f.qs[r.entry].TryPrompt(r.partFingerprints()) {
			f.refuse(r)
			return
		}
		r.trial = true
	}
	up := f.serversUp()
	if len(up) == 0 {
		return
	}
	server := up[f.rng.IntN(len(up))]
	start := f.starts[server]
	if r.bad != "" && f.known(r.bad) && !time.Now().Before(f.inTouchFrom) {
		f.late[r.bad]++
	}
	r.sentAt = time.Now()
	f.inFlight[server] = append(f.inFlight[server], r)
	f.after(time.Duration(100+f.rng.IntN(200))*time.Millisecond, func() {
		switch {
		case r.lost:
			if tries > 1 && !f.held(r) {
				r.lost = false
				f.send(r, tries-1)
			}
		case f.held(r) && !r.trial:
			f.leave(server, r)
			f.refuse(r)
		case r.bad != "":
			f.crashes[r.bad] = append(f.crashes[r.bad], time.Now())
			f.exit(server)
		default:
			f.begin(server, start, r)
		}
	})
}

func (f *fleet) refuse(r *fleetRequest) {
	if r.bad != "" {
		return
	}
	f.wrong++
	if f.badParts == 0 || f.anyKnownFor(2*contactTime) {
		f.countsOf(r).refused++
	}
}

// countsOf returns the counts of a request's caller.
func (f *fleet) countsOf(r *fleetRequest) *beginnings {
	caller := r.parts[len(r.parts)-1]
	if f.callers[caller] == nil {
		f.callers[caller] = &beginnings{}
	}
	return f.callers[caller]
}

// begin begins the response to a sound request.
func (f *fleet) begin(server, start int, r *fleetRequest) {
	r.begunAt = time.Now()
	if f.badParts == 0 || f.anyKnownFor(2*contactTime) {
		f.countsOf(r).begun++
	}
	q := f.qs[r.entry]
	f.after(confirmed, func() {
		if !r.lost && f.starts[server] == start {
			q.RecordAnswer(r.partFingerprints(), r.begunAt)
		}
	})
	f.after(time.Duration(500+f.rng.IntN(1500))*time.Millisecond, func() {
		if f.leave(server, r) {
			q.RecordResponse(fingerprint(fmt.Sprint(r.id)))
		}
	})
}

// leave reports whether the request was still at the server.
func (f *fleet) leave(server int, r *fleetRequest) bool {
	n := len(f.inFlight[server])
	f.inFlight[server] = slices.DeleteFunc(f.inFlight[server], func(other *fleetRequest) bool { return other == r })
	return len(f.inFlight[server]) < n
}

// exit ends a server; its requests are lost, and recorded by their entries.
func (f *fleet) exit(server int) {
	lost := f.inFlight[server]
	incarnation := fmt.Sprintf("%d@%d", server, f.starts[server])
	f.inFlight[server] = nil
	f.starts[server]++
	f.upAt[server] = time.Now().Add(time.Duration(2000+f.rng.IntN(3000)) * time.Millisecond)
	for entry, q := range f.qs {
		survived := f.survivedParts(entry, lost)
		var requests []Fingerprint
		var prompts []Prompt
		for _, r := range lost {
			if r.entry != entry {
				continue
			}
			requests = append(requests, fingerprint(fmt.Sprint(r.id)))
			prompt := Prompt{Sent: r.sentAt.UnixMilli()}
			for _, part := range r.parts {
				if r.answering() < confirmed && !survived[part] {
					prompt.Parts = append(prompt.Parts, PartFingerprint(part))
				}
			}
			if len(prompt.Parts) > 0 {
				prompts = append(prompts, prompt)
			}
		}
		if len(requests) > 0 {
			q.RecordExit(incarnation, requests, prompts...)
		}
	}
	for _, r := range lost {
		r.lost = true
	}
}

// survivedParts returns the parts on which servers have recently begun to respond to an entry.
func (f *fleet) survivedParts(entry int, lost []*fleetRequest) map[string]bool {
	parts := make(map[string]bool)
	for _, requests := range append(slices.Clone(f.inFlight), lost) {
		for _, r := range requests {
			if r.entry == entry && r.answering() >= confirmed && r.answering() <= recent {
				for _, part := range r.parts {
					parts[part] = true
				}
			}
		}
	}
	return parts
}

func (f *fleet) serversUp() []int {
	var up []int
	for server, at := range f.upAt {
		if !at.After(time.Now()) {
			up = append(up, server)
		}
	}
	return up
}

func (f *fleet) newRequest(parts []string, bad string) *fleetRequest {
	f.next++
	return &fleetRequest{id: f.next, entry: f.rng.IntN(f.entries), parts: parts, bad: bad}
}

// badPrompt returns the parts of a prompt with a bad part.
func (f *fleet) badPrompt(bad string) []string {
	caller := "caller0"
	if f.badCallers {
		caller = f.caller()
	}
	if f.badFirst {
		return []string{bad, caller}
	}
	return []string{"template", caller, bad}
}

// caller returns the part of a random caller; the first ones send most requests.
func (f *fleet) caller() string {
	return fmt.Sprint("caller", min(f.rng.IntN(f.groups), f.rng.IntN(f.groups)))
}

// restartEntry replaces an entry by one that has to read what it knows.
func (f *fleet) restartEntry(t *testing.T) {
	t.Helper()
	entry := f.rng.IntN(f.entries)
	f.stops[entry]()
	f.qs[entry], f.stops[entry] = startEntry(t, fmt.Sprint("entry", entry), f.store)
	f.noTouchUntil(time.Now().Add(contactTime))
}

// loseStore makes the store unavailable for storeOutage.
func (f *fleet) loseStore() {
	f.store.update(func() { f.store.unavailable = true })
	f.after(storeOutage, func() { f.store.update(func() { f.store.unavailable = false }) })
	f.noTouchUntil(time.Now().Add(storeOutage + contactTime))
}

func (f *fleet) noTouchUntil(until time.Time) {
	if until.After(f.inTouchFrom) {
		f.inTouchFrom = until
	}
}

func simulateFleet(t *testing.T, params fleetParams) *fleet {
	t.Helper()
	f := &fleet{
		fleetParams: params, rng: rand.New(rand.NewPCG(params.seed, 1)), inFlight: make([][]*fleetRequest, params.servers),
		upAt: make([]time.Time, params.servers), starts: make([]int, params.servers), crashes: make(map[string][]time.Time), late: make(map[string]int),
		callers: make(map[string]*beginnings),
	}
	f.store = newSharedStore()
	for entry := range params.entries {
		q, stop := startEntry(t, fmt.Sprint("entry", entry), f.store)
		f.qs, f.stops = append(f.qs, q), append(f.stops, stop)
	}
	if params.restart {
		f.after(6*time.Second, func() { f.restartEntry(t) })
	}
	if params.storeAway {
		f.after(2*time.Second, func() { f.loseStore() })
	}
	f.every(params.soundPerS, func() {
		f.sent++
		f.send(f.newRequest([]string{"template", f.caller()}, ""), 2)
	})
	f.after(2*time.Second, func() {
		f.every(params.killsPerS, func() { f.exit(f.rng.IntN(params.servers)) })
		for n := range params.badParts {
			bad := fmt.Sprint("bad", n)
			f.every(params.badPerS/float64(params.badParts), func() { f.send(f.newRequest(f.badPrompt(bad), bad), 2) })
		}
	})
	if params.siteLoss {
		f.after(10*time.Second, func() {
			for server := range params.servers / 2 {
				f.exit(server)
			}
		})
	}
	f.run()
	return f
}
