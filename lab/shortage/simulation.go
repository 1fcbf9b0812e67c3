package shortage

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// Kind is a class of requests.
type Kind struct {
	Name string
	// Goal is the target for the time to the first event, Timeout how long callers wait for it.
	Goal, Timeout  time.Duration
	Value          float64
	Prompt, Answer int
	// Rate is in requests per second.
	Rate float64
	// Rank is 0 for the most urgent kind.
	Rank int
	// LateShare is the fraction of Value that a late answer has; lateValue if 0.
	LateShare float64
	// Burst multiplies the kind's rate in the burst; Params.BurstFactor if 0.
	Burst float64
}

// Params configure a simulation.
type Params struct {
	Engine  *contract.Engine
	Servers int
	Entries int
	Kinds   []Kind
	// Duration is how long requests arrive; from BurstStart to BurstEnd their rate is multiplied by BurstFactor.
	Duration, BurstStart, BurstEnd time.Duration
	BurstFactor                    float64
	// TimeoutSpread is the largest fraction by which a caller's timeout is below its kind's.
	TimeoutSpread float64
	Seed          uint64
}

// Behaviour of entries and callers.
const (
	// reportInterval is the interval at which entries receive the servers' loads.
	reportInterval = 100 * time.Millisecond
	// retryDelay is the least delay of a refused caller's only retry, retryJitter the bound of the random delay added to it.
	retryDelay  = 400 * time.Millisecond
	retryJitter = 900 * time.Millisecond
	// lateValue is the fraction of a request's value for a late answer, refusedAgainCost the fraction lost by a second refusal.
	lateValue        = 0.25
	refusedAgainCost = 0.3
	// maxSize bounds a request's size, as a multiple of the usual size.
	maxSize = 3.0
)

// Tally counts the outcomes of one kind's requests.
type Tally struct {
	Requests, InTime, Late, Refused, Retries, RefusedAgain int
	maxValue, value                                        float64
}

// ValueRatio returns the fraction of the total value that was gained; 0 without requests.
func (t Tally) ValueRatio() float64 {
	if t.maxValue == 0 {
		return 0
	}
	return t.value / t.maxValue
}

// caller is the caller of one request.
type caller struct {
	kind     *Kind
	entry    int
	prompt   int
	answer   int
	firstTry time.Duration
	// timeout counts from the first try.
	timeout time.Duration
	retried bool
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

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type simulation struct {
	params     Params
	rand       *rand.Rand
	now        time.Duration
	queue      events
	count      int
	servers    []*server
	strategies []Strategy
	// reported is the load last reported by each server; by entry and server, sent is the load added since, and pending are the attempts
	// without a first event.
	reported []engine.Load
	sent     [][]engine.Load
	pending  [][][]*attempt
	tally    map[string]*Tally
}

// Simulate runs a simulation with a strategy per entry and returns the outcomes by kind.
func Simulate(params Params, newStrategy func() Strategy) map[string]Tally {
	sim := &simulation{params: params, rand: rand.New(rand.NewPCG(params.Seed, 0)), tally: make(map[string]*Tally)}
	for range params.Servers {
		sim.servers = append(sim.servers, &server{engine: params.Engine})
	}
	for range params.Entries {
		sim.strategies = append(sim.strategies, newStrategy())
		sim.pending = append(sim.pending, make([][]*attempt, params.Servers))
	}
	sim.reportLoads()
	for i := range params.Kinds {
		kind := &params.Kinds[i]
		sim.tally[kind.Name] = &Tally{}
		sim.arrive(kind, rand.New(rand.NewPCG(params.Seed, uint64(i)+1)))
	}
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.do()
	}
	tallies := make(map[string]Tally, len(sim.tally))
	for name, t := range sim.tally {
		tallies[name] = *t
	}
	return tallies
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.count++
	heap.Push(&sim.queue, event{sim.now + d, sim.count, do})
}

// arrive creates one request of a kind and schedules the next; its random numbers do not depend on the strategy.
func (sim *simulation) arrive(kind *Kind, r *rand.Rand) {
	rate := kind.Rate
	if sim.now >= sim.params.BurstStart && sim.now < sim.params.BurstEnd {
		rate *= cmp.Or(kind.Burst, sim.params.BurstFactor)
	}
	size := min(r.ExpFloat64(), maxSize)
	c := &caller{
		kind: kind, entry: r.IntN(sim.params.Entries), firstTry: sim.now,
		prompt: 1 + int(size*float64(kind.Prompt)), answer: 1 + int(size*float64(kind.Answer)),
	}
	c.timeout = kind.Timeout - time.Duration(sim.params.TimeoutSpread*r.Float64()*float64(kind.Timeout))
	sim.tally[kind.Name].Requests++
	sim.tally[kind.Name].maxValue += kind.Value
	sim.place(c)
	if next := time.Duration(r.ExpFloat64() / rate * float64(time.Second)); sim.now+next < sim.params.Duration {
		sim.after(next, func() { sim.arrive(kind, r) })
	}
}

// reportLoads updates the loads known to all entries.
func (sim *simulation) reportLoads() {
	sim.reported = make([]engine.Load, len(sim.servers))
	for i, s := range sim.servers {
		sim.reported[i] = s.load()
	}
	sim.sent = make([][]engine.Load, sim.params.Entries)
	for i := range sim.sent {
		sim.sent[i] = make([]engine.Load, len(sim.servers))
	}
	if sim.now < sim.params.Duration {
		sim.after(reportInterval, sim.reportLoads)
	}
}

// place lets the caller's entry admit the request to a server or refuse it.
func (sim *simulation) place(c *caller) {
	loads := make([]engine.Load, len(sim.servers))
	for i, load := range sim.reported {
		load.Prefilling += sim.sent[c.entry][i].Prefilling
		load.PrefillTokens += sim.sent[c.entry][i].PrefillTokens
		loads[i] = load
	}
	strategy := sim.strategies[c.entry]
	target := strategy.choose(sim.params.Engine, view{loads: loads, pending: sim.pending[c.entry]}, c)
	if !strategy.admit(sim.params.Engine, c, target, sim.now) {
		sim.scheduleRetry(c)
		return
	}
	sent := &sim.sent[c.entry][target.server]
	sent.Prefilling++
	sent.PrefillTokens += c.prompt
	s := sim.servers[target.server]
	a := &attempt{caller: c, rank: target.rank, server: target.server, prefillTokens: c.prompt, answerTokens: c.answer}
	s.waiting = append(s.waiting, a)
	sim.pending[c.entry][target.server] = append(sim.pending[c.entry][target.server], a)
	if !s.working {
		sim.runPasses(s)
	}
}

// scheduleRetry handles a refusal: the caller retries once, at a random entry.
func (sim *simulation) scheduleRetry(c *caller) {
	t := sim.tally[c.kind.Name]
	if c.retried {
		t.RefusedAgain++
		t.value -= refusedAgainCost * c.kind.Value
		return
	}
	t.Refused++
	t.Retries++
	c.retried = true
	c.entry = sim.rand.IntN(sim.params.Entries)
	sim.after(retryDelay+time.Duration(sim.rand.Int64N(int64(retryJitter))), func() { sim.place(c) })
}

// runPasses runs the server's passes until it has no work left.
func (sim *simulation) runPasses(s *server) {
	s.working = true
	duration, first := s.startPass()
	sim.after(duration, func() {
		for _, a := range first {
			sim.recordFirstEvent(a)
		}
		if s.working = s.removeDone(); s.working {
			sim.runPasses(s)
		}
	})
}

// recordFirstEvent counts a first event as in time or late.
func (sim *simulation) recordFirstEvent(a *attempt) {
	pending := &sim.pending[a.caller.entry][a.server]
	*pending = slices.DeleteFunc(*pending, func(other *attempt) bool { return other == a })
	t := sim.tally[a.caller.kind.Name]
	if took := sim.now - a.caller.firstTry; took <= a.caller.kind.Goal {
		t.InTime++
		t.value += a.caller.kind.Value
	} else if took < a.caller.timeout {
		t.Late++
		t.value += cmp.Or(a.caller.kind.LateShare, lateValue) * a.caller.kind.Value
	}
}
