package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// The load that this file answers: for a few seconds no server of a service takes requests, then all do again. Every request of that time
// would be refused, and refused again when its caller comes back within the same gap: callers come back once, after a third of the time
// they have left at most. So a return is held as long as its caller waits for a first event, and a first try is told when to come back:
// its wait for that costs nothing at the entry, and begins its caller's patience anew.

const (
	// returnShare is the part of its remaining time within which a refused caller comes back, whatever it is advised.
	returnShare = 3
	// minReturn is the soonest advised return: the other entries of the site have to hear of the refusal first.
	minReturn = 100 * time.Millisecond
	// maxPromises bounds the promised returns that are counted.
	maxPromises = 1024
)

// Reasons of a verdict, as logged.
const (
	WhyInTime     = "answered in time"
	WhyReturn     = "no further return"
	WhyComeBack   = "comes back in time"
	WhyUnknown    = "no opening is predicted"
	WhyTooLate    = "opens too late"
	WhyFull       = "the room is full"
	WhyMoreUrgent = "gave way to a more urgent one"
	WhySlipped    = "the opening slipped"
)

// Waiting describes a request that no server takes now.
type Waiting struct {
	// Rank is 0 for the most urgent; IsReturn is set if it was refused before.
	Rank     int
	IsReturn bool
	// InTime is until when its first event is in time, GivesUp until when its caller waits for it, Deadline until when it waits at all.
	InTime   time.Time
	GivesUp  time.Time
	Deadline time.Time
	// Rest is how long its answer takes after the first event.
	Rest time.Duration
}

// limit returns until when a first event is of use.
func (w Waiting) limit() time.Time {
	if last := w.Deadline.Add(-w.Rest); last.Before(w.GivesUp) {
		return last
	}
	return w.GivesUp
}

// Held is a request in the room. Predicted is when its first event was expected when it was taken in.
type Held struct {
	Waiting
	Predicted time.Time
}

// Verdict is a decision on a request. Held is nil for one that is refused now, to come back after ComeBack.
type Verdict struct {
	Held     *Held
	ComeBack time.Duration
	Why      string
	// GivesWay is a held request to refuse instead; nil if there is none.
	GivesWay *Held
	// Opens is the predicted time until the first server takes requests, Room that until there is room for this one, Margin by how much
	// longer it may take.
	Opens, Room, Margin time.Duration
}

// Room holds requests of one service while no server takes them. It is safe for concurrent use.
type Room struct {
	mu    sync.Mutex
	limit int
	// held is ordered by urgency, then by deadline.
	held     []*Held
	promises []promise
	slip     slippage
	// fresh is the rate of first tries, which go before held requests; credit are releases into free slots that are due, surplus those of the
	// throughput that first tries leave over, spareSlots the slots that these leave over, all as of releasedAt.
	fresh      arrivals
	credit     float64
	surplus    float64
	spareSlots float64
	releasedAt time.Time
}

// promise is a return that was advised.
type promise struct {
	at   time.Time
	rank int
}

// NewRoom returns a room for a number of requests.
func NewRoom(limit int) *Room { return &Room{limit: limit} }

// Arrive counts a first try.
func (r *Room) Arrive(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fresh = r.fresh.with(now)
}

// Len returns the number of requests in the room.
func (r *Room) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.held)
}

// Offer decides whether to hold a request.
func (r *Room) Offer(w Waiting, f Forecast, now time.Time) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	opens, ok := f.FirstOpening()
	if !ok {
		return Verdict{Why: WhyUnknown}
	}
	f.Error = r.observe(opens, now)
	room := r.roomFor(w, f, opens, now)
	verdict := r.decide(w, f, opens, room, now)
	verdict.Opens, verdict.Room, verdict.Margin = opens, room, f.margin(opens)
	return verdict
}

// decide decides on a request for which there is room after a time; mu is held.
func (r *Room) decide(w Waiting, f Forecast, opens, room time.Duration, now time.Time) Verdict {
	first := now.Add(room + f.First)
	expected := first.Add(f.margin(opens))
	if !w.IsReturn && expected.After(w.InTime) {
		return r.comeBack(w, f, opens, now)
	}
	if expected.After(w.limit()) {
		return Verdict{Why: WhyTooLate, ComeBack: max(room, minReturn)}
	}
	var out *Held
	if len(r.held) >= r.limit {
		if len(r.held) == 0 || compareHeld(r.held[len(r.held)-1].Waiting, w) <= 0 {
			return Verdict{Why: WhyFull, ComeBack: max(room, minReturn)}
		}
		out = r.held[len(r.held)-1]
		r.held = r.held[:len(r.held)-1]
	}
	h := &Held{Waiting: w, Predicted: first}
	r.insert(h)
	why := WhyReturn
	if !w.IsReturn {
		why = WhyInTime
	}
	return Verdict{Held: h, Why: why, GivesWay: out}
}

// comeBack advises a first try when to return: as the ramp of room has place for it beside those advised before. What its caller honours
// bounds it, and one that returns before the opening is held then. mu is held.
func (r *Room) comeBack(w Waiting, f Forecast, opens time.Duration, now time.Time) Verdict {
	r.forgetPromises(now)
	after := r.roomFor(w, f, opens, now)
	after = max(min(after, w.Deadline.Sub(now)/returnShare), minReturn)
	if len(r.promises) < maxPromises {
		r.promises = append(r.promises, promise{at: now.Add(after), rank: w.Rank})
	}
	return Verdict{Why: WhyComeBack, ComeBack: after}
}

// Restore puts a request that was to be sent back into the room, since other requests took the place.
func (r *Room) Restore(h *Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.insert(h)
}

// Remove removes a request whose caller no longer waits, or that was sent.
func (r *Room) Remove(h *Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i := slices.Index(r.held, h); i >= 0 {
		r.held = slices.Delete(r.held, i, i+1)
	}
}

// insert puts a request in its place; mu is held.
func (r *Room) insert(h *Held) {
	i, _ := slices.BinarySearchFunc(r.held, h.Waiting, func(other *Held, w Waiting) int { return cmp.Or(compareHeld(other.Waiting, w), -1) })
	r.held = slices.Insert(r.held, i, h)
}

// compareHeld orders requests by urgency, then by deadline.
func compareHeld(a, b Waiting) int {
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), a.Deadline.Compare(b.Deadline))
}

// roomFor returns the time until there is room for a request behind those that go first; mu is held.
func (r *Room) roomFor(w Waiting, f Forecast, opens time.Duration, now time.Time) time.Duration {
	ahead := 1.0
	for _, h := range r.held {
		if compareHeld(h.Waiting, w) <= 0 {
			ahead++
		}
	}
	rate, in, promisedTo := r.fresh.rate(now), opens, w.Rank
	if w.IsReturn {
		// Promised returns of its own rank have later deadlines.
		promisedTo--
	}
	for ; in < forecastHorizon; in += forecastStep {
		if f.spareRoomBy(in, rate) >= ahead+float64(r.promisedBy(now.Add(in), promisedTo)) {
			break
		}
	}
	return in
}

// promisedBy counts the promised returns of this urgency or a higher one that come by a time; mu is held.
func (r *Room) promisedBy(at time.Time, rank int) (n int) {
	for _, p := range r.promises {
		if p.rank <= rank && !p.at.After(at) {
			n++
		}
	}
	return n
}

// forgetPromises forgets the returns that are due: they have arrived here or elsewhere. mu is held.
func (r *Room) forgetPromises(now time.Time) {
	r.promises = slices.DeleteFunc(r.promises, func(p promise) bool { return p.at.Before(now) })
}

// observe takes a prediction and returns the error of the latest ones; mu is held.
func (r *Room) observe(opens time.Duration, now time.Time) float64 {
	r.slip.observe(opens, now)
	return r.slip.mean
}
