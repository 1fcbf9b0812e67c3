package admission

import (
	"sync"
	"time"
)

const (
	// endsSlack is by how much the end of a caller's time may seem to differ between two tries, by its way and by rounding.
	endsSlack = 30 * time.Millisecond
	// returnsWithin is how long a refusal is remembered: callers come back after the time told or a third of the time that they
	// have left, whichever is sooner.
	returnsWithin = 4 * time.Second
	// mostRefusals bounds what is remembered; the oldest is forgotten first.
	mostRefusals = 16384
)

// Refusal is a try that was refused: what tells the request when it comes again, when it was tried first, and when its caller's
// time ends, zero when it does not say.
type Refusal struct {
	Print uint64
	First time.Time
	Ends  time.Time
}

// Returns remembers refusals, those of other entries too, to tell callers that return from first tries; the zero value remembers
// none. It is safe for concurrent use.
type Returns struct {
	mu    sync.Mutex
	of    map[uint64][]remembered
	order []remembered
}

// remembered is a refusal and when it was noted.
type remembered struct {
	Refusal
	noted time.Time
}

// Note remembers a refusal.
func (r *Returns) Note(refusal Refusal, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.of == nil {
		r.of = make(map[uint64][]remembered)
	}
	one := remembered{Refusal: refusal, noted: now}
	r.of[refusal.Print] = append(r.of[refusal.Print], one)
	r.order = append(r.order, one)
	for len(r.order) > mostRefusals || len(r.order) > 0 && now.Sub(r.order[0].noted) > returnsWithin {
		r.forget(r.order[0])
		r.order = r.order[1:]
	}
}

// Take returns when a request was tried first if it is one that was refused and has come back, which it does once for each
// refusal. Of requests that are alike the ends of their callers' times tell which.
func (r *Returns) Take(key uint64, ends, now time.Time) (first time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, one := range r.of[key] {
		if now.Sub(one.noted) <= returnsWithin && one.Ends.Sub(ends).Abs() <= endsSlack {
			r.forget(one)
			return one.First, true
		}
	}
	return time.Time{}, false
}

// forget drops a refusal; mu is held.
func (r *Returns) forget(one remembered) {
	all := r.of[one.Print]
	for i := range all {
		if all[i] == one {
			all = append(all[:i], all[i+1:]...)
			break
		}
	}
	if len(all) == 0 {
		delete(r.of, one.Print)
		return
	}
	r.of[one.Print] = all
}
