package shortage

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// Goal is the time within which a first event is in time, Wait how long callers wait.
	Goal, Wait     time.Duration
	Worth          float64
	Prompt, Answer int
	// PerSecond is how many come a second.
	PerSecond float64
}

// Params are what is played.
type Params struct {
	Engine  *contract.Engine
	Servers int
	Entries int
	Kinds   []Kind
	// For is how long callers come; from BusyFrom to BusyTo they come Busy times as often.
	For, BusyFrom, BusyTo time.Duration
	Busy                  float64
	// Patience is by what part callers' waits differ: between the kind's and that much less.
	Patience float64
	Seed     uint64
}

// The times of entries and callers.
const (
	// reportEvery is how often entries hear what is at the servers.
	reportEvery = 100 * time.Millisecond
	// comeBack and comeBackSpread are when a refused caller returns, once.
	comeBack       = 400 * time.Millisecond
	comeBackSpread = 900 * time.Millisecond
	// lateWorth is the part of a request's worth that a late answer earns, refusedAgain what a second refusal costs.
	lateWorth    = 0.25
	refusedAgain = 0.3
	// mostSize bounds a request's size as a multiple of the usual one.
	mostSize = 3.0
)

// Tally is what became of one kind's requests.
type Tally struct {
	Asked, InTime, Late, Refused, Returns, RefusedAgain int
	owed, earned                                        float64
}

// Worth returns what was earned of what was owed.
func (t Tally) Worth() float64 {
	if t.owed == 0 {
		return 0
	}
	return t.earned / t.owed
}

// caller is one request, from its first try.
type caller struct {
	kind   *Kind
	entry  int
	prompt int
	answer int
	began  time.Duration
	// patience is how long it waits from its first try on.
	patience time.Duration
	returns  bool
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event for package heap.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop takes the last event for package heap.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is one play.
type world struct {
	params  Params
	rand    *rand.Rand
	now     time.Duration
	queue   events
	count   int
	servers []*server
	ways    []Way
	// seen is what boxes last reported, sent what each entry has sent to each server since.
	seen  []engine.Load
	sent  [][]engine.Load
	tally map[string]*Tally
}

// Play plays a way and returns what became of each kind's requests.
func Play(params Params, way func() Way) map[string]Tally {
	w := &world{params: params, rand: rand.New(rand.NewPCG(params.Seed, 0)), tally: make(map[string]*Tally)}
	for range params.Servers {
		w.servers = append(w.servers, &server{engine: params.Engine})
	}
	for range params.Entries {
		w.ways = append(w.ways, way())
	}
	w.report()
	for i := range params.Kinds {
		kind := &params.Kinds[i]
		w.tally[kind.Name] = &Tally{}
		w.arrive(kind, rand.New(rand.NewPCG(params.Seed, uint64(i)+1)))
	}
	for len(w.queue) > 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	tallies := make(map[string]Tally, len(w.tally))
	for name, t := range w.tally {
		tallies[name] = *t
	}
	return tallies
}

func (w *world) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, event{w.now + d, w.count, do})
}

// arrive has a kind's callers come; what they ask does not depend on the way that is played.
func (w *world) arrive(kind *Kind, r *rand.Rand) {
	rate := kind.PerSecond
	if w.now >= w.params.BusyFrom && w.now < w.params.BusyTo {
		rate *= w.params.Busy
	}
	size := min(r.ExpFloat64(), mostSize)
	c := &caller{
		kind: kind, entry: r.IntN(w.params.Entries), began: w.now,
		prompt: 1 + int(size*float64(kind.Prompt)), answer: 1 + int(size*float64(kind.Answer)),
	}
	c.patience = kind.Wait - time.Duration(w.params.Patience*r.Float64()*float64(kind.Wait))
	w.tally[kind.Name].Asked++
	w.tally[kind.Name].owed += kind.Worth
	w.try(c)
	if next := time.Duration(r.ExpFloat64() / rate * float64(time.Second)); w.now+next < w.params.For {
		w.after(next, func() { w.arrive(kind, r) })
	}
}

// report has all entries hear what is at the servers.
func (w *world) report() {
	w.seen = make([]engine.Load, len(w.servers))
	for i, s := range w.servers {
		w.seen[i] = s.load()
	}
	w.sent = make([][]engine.Load, w.params.Entries)
	for i := range w.sent {
		w.sent[i] = make([]engine.Load, len(w.servers))
	}
	if w.now < w.params.For {
		w.after(reportEvery, w.report)
	}
}

// try has a caller's entry let it in or refuse it.
func (w *world) try(c *caller) {
	loads := make([]engine.Load, len(w.servers))
	for i, load := range w.seen {
		load.Reading += w.sent[c.entry][i].Reading
		load.Unread += w.sent[c.entry][i].Unread
		loads[i] = load
	}
	way := w.ways[c.entry]
	o := way.choose(w.params.Engine, loads, c.prompt)
	if !way.letIn(w.params.Engine, c, o, w.now) {
		w.refuse(c)
		return
	}
	sent := &w.sent[c.entry][o.server]
	sent.Reading++
	sent.Unread += c.prompt
	s := w.servers[o.server]
	s.waiting = append(s.waiting, &job{caller: c, unread: c.prompt, left: c.answer})
	if !s.working {
		w.work(s)
	}
}

// refuse has a caller return once, to another entry.
func (w *world) refuse(c *caller) {
	t := w.tally[c.kind.Name]
	if c.returns {
		t.RefusedAgain++
		t.earned -= refusedAgain * c.kind.Worth
		return
	}
	t.Refused++
	t.Returns++
	c.returns = true
	c.entry = w.rand.IntN(w.params.Entries)
	w.after(comeBack+time.Duration(w.rand.Int64N(int64(comeBackSpread))), func() { w.try(c) })
}

// work plays a server's passes as long as it has anything to do.
func (w *world) work(s *server) {
	s.working = true
	takes, first := s.pass()
	w.after(takes, func() {
		for _, j := range first {
			w.begun(j)
		}
		if s.working = s.finish(); s.working {
			w.work(s)
		}
	})
}

// begun counts a first event.
func (w *world) begun(j *job) {
	t := w.tally[j.caller.kind.Name]
	if took := w.now - j.caller.began; took <= j.caller.kind.Goal {
		t.InTime++
		t.earned += j.caller.kind.Worth
	} else if took < j.caller.patience {
		t.Late++
		t.earned += lateWorth * j.caller.kind.Worth
	}
}
