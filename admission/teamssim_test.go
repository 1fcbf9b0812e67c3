package admission

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// A simulation of entries that share model servers, in virtual time and without a network. The servers are one queue of work; entries
// know its length a while ago.
const (
	simRate    = 10.0 // work done per second, in seconds of work
	simGoal    = 400 * time.Millisecond
	simLag     = 100 * time.Millisecond
	simTell    = 500 * time.Millisecond
	simTeams   = 24
	simWork    = 50 * time.Millisecond
	floodFrom  = 4 * time.Second
	floodUntil = 28 * time.Second
	// Shares are measured once they had two windows to settle.
	measureFrom = floodFrom + 2*teamWindow
)

// simTeam is a team's load: work asked per second, in requests of a size, between two times.
type simTeam struct {
	rate        float64
	work        time.Duration
	from, until time.Duration
	// retries is how often a refused request comes back, after retryAfter.
	retries    int
	retryAfter time.Duration
	// name is the team's; empty for its number.
	name string
	// oneEntry says that all requests reach the same entry.
	oneEntry bool
}

// sim is one simulation; fair turns shares of teams on.
type sim struct {
	entries int
	teams   []simTeam
	fair    bool
	// cutOff is an entry that hears and tells nothing, restartAt when entry 0 restarts; late is how late messages arrive.
	cutOff    int
	restartAt time.Duration
	late      time.Duration
	// base is what a request waits at servers without a queue: steps in progress, and what their reports are late by.
	base time.Duration
	seed uint64

	now     time.Duration
	events  simEvents
	nodes   []*simEntry
	backlog time.Duration
	// lengths are the lengths of the queue by millisecond.
	lengths []time.Duration
	result  simResult
}

type simEntry struct {
	policy Policy
	teams  Teams
	// sent is the work that the entry sent lately.
	sent []simSent
}

type simSent struct {
	at   time.Duration
	work time.Duration
}

// simResult is the work asked by first tries and admitted by team within the measured time, and the work done in it.
type simResult struct {
	asked, got []time.Duration
	done       time.Duration
	longest    time.Duration
}

type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.events, simEvent{s.now + d, run}) }

func (s *sim) time() time.Time { return time.Unix(1000, 0).Add(s.now) }

func (s *sim) run() simResult {
	r := rand.New(rand.NewPCG(s.seed, 1))
	s.result = simResult{asked: make([]time.Duration, len(s.teams)), got: make([]time.Duration, len(s.teams))}
	for range s.entries {
		s.nodes = append(s.nodes, &simEntry{})
	}
	for i, team := range s.teams {
		var next func()
		next = func() {
			if s.now >= team.until {
				return
			}
			s.ask(r, i, 0, s.now)
			s.after(time.Duration(r.ExpFloat64()*float64(team.work)/team.rate), next)
		}
		s.after(team.from+time.Duration(r.ExpFloat64()*float64(team.work)/team.rate), next)
	}
	var tell func()
	tell = func() {
		s.tell()
		s.after(simTell, tell)
	}
	s.after(0, tell)
	if s.restartAt > 0 {
		s.after(s.restartAt, func() { s.nodes[0] = &simEntry{} })
	}
	end := floodUntil
	for len(s.events) > 0 && s.events[0].at < end {
		event := heap.Pop(&s.events).(simEvent)
		s.advance(event.at)
		event.run()
	}
	return s.result
}

// advance lets the servers work until a time.
func (s *sim) advance(to time.Duration) {
	for ms := s.now.Milliseconds() + 1; ms <= to.Milliseconds(); ms++ {
		step := min(s.backlog, time.Duration(simRate*float64(time.Millisecond)))
		s.backlog -= step
		if time.Duration(ms)*time.Millisecond > measureFrom {
			s.result.done += step
		}
		s.lengths = append(s.lengths, s.backlog)
	}
	s.now = to
}

// delay returns the queueing delay that an entry believes: the queue some time ago, what it sent since, and that the others sent their
// parts of what was done since.
func (s *sim) delay(entry *simEntry) time.Duration {
	i := len(s.lengths) - int(simLag.Milliseconds())
	if i < 0 {
		return s.base
	}
	for len(entry.sent) > 0 && entry.sent[0].at < s.now-simLag {
		entry.sent = entry.sent[1:]
	}
	own := time.Duration(0)
	for _, sent := range entry.sent {
		own += sent.work
	}
	done := min(time.Duration(simRate*float64(simLag)), s.lengths[i])
	length := s.lengths[i] + own - done/time.Duration(s.entries)
	return s.base + time.Duration(float64(max(length, 0))/simRate)
}

// ask sends a request of a team to some entry.
func (s *sim) ask(r *rand.Rand, team, try int, first time.Duration) {
	load, entry, now := s.teams[team], s.nodes[r.IntN(len(s.nodes))], s.time()
	if load.oneEntry {
		entry = s.nodes[0]
	}
	ask := Ask{Team: cmp.Or(load.name, fmt.Sprint(team)), Work: load.work, Retry: try > 0}
	req, delay := Request{Route: "r", Goal: simGoal}, s.delay(entry)
	entry.teams.Record(ask, now)
	share := entry.teams.Share(ask.Team, now)
	var admitted, room bool
	if s.fair && share.Bounded {
		admitted, room = entry.policy.AdmitBounded(req, s.now-first, delay)
	} else {
		admitted = entry.policy.Admit(req, s.now-first, delay)
		room = admitted
	}
	entry.teams.Decided(ask, admitted, room, now)
	measured := s.now >= measureFrom
	if measured && try == 0 {
		s.result.asked[team] += load.work
	}
	if admitted {
		s.backlog += load.work
		entry.sent = append(entry.sent, simSent{s.now, load.work})
		s.result.longest = max(s.result.longest, time.Duration(float64(s.backlog)/simRate))
		if measured {
			s.result.got[team] += load.work
		}
		return
	}
	if try < load.retries {
		s.after(load.retryAfter, func() { s.ask(r, team, try+1, first) })
	}
}

// tell lets each entry tell the others what teams used.
func (s *sim) tell() {
	for i, from := range s.nodes {
		uses, at := from.teams.Use(s.time()), s.time()
		if uses == nil || i == s.cutOff-1 {
			continue
		}
		for j, to := range s.nodes {
			if j != i && j != s.cutOff-1 {
				s.after(s.late+time.Millisecond, func() { to.teams.Hear(fmt.Sprint(i), uses, at.Add(s.late)) })
			}
		}
	}
}

// usualTeams returns teams whose loads, a few large ones, add up to a fraction of the servers' rate.
func usualTeams(fraction float64) []simTeam {
	teams, sum := make([]simTeam, simTeams), 0.0
	for i := range teams {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range teams {
		rate := fraction * simRate * math.Pow(float64(i+1), -1.2) / sum
		teams[i] = simTeam{rate: rate, work: simWork, until: floodUntil, retries: 1, retryAfter: 400 * time.Millisecond}
	}
	return teams
}

// served returns the fraction of the asked work that teams other than some got, and that of the worst served of them.
func (r simResult) served(except ...int) (all, worst float64) {
	asked, got, worst := time.Duration(0), time.Duration(0), 1.0
	for i := range r.asked {
		skip := r.asked[i] == 0
		for _, e := range except {
			skip = skip || i == e
		}
		if skip {
			continue
		}
		asked, got = asked+r.asked[i], got+r.got[i]
		worst = min(worst, r.got[i].Seconds()/r.asked[i].Seconds())
	}
	return got.Seconds() / asked.Seconds(), worst
}
