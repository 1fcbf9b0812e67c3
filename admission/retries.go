package admission

import (
	"sync"
	"time"
)

const (
	// deadlineTolerance is how far the deadlines of two tries of one request may differ through network delay and rounding.
	deadlineTolerance = 30 * time.Millisecond
	// retryWindow is how long a refusal is kept; callers retry after the advised delay or a third of their remaining time,
	// whichever is shorter.
	retryWindow = 4 * time.Second
	// maxRefusals bounds the refusals kept; the oldest is dropped first.
	maxRefusals = 16384
)

// Refusal is a refused try: the request's fingerprint, the time of its first try and the caller's deadline, zero if
// it gave none.
type Refusal struct {
	Fingerprint uint64
	FirstTry    time.Time
	Deadline    time.Time
}

// RetryDetector distinguishes retries from first tries by the refusals of this and other entries. The zero value is empty and
// safe for concurrent use.
type RetryDetector struct {
	mu            sync.Mutex
	byFingerprint map[uint64][]recordedRefusal
	oldestFirst   []recordedRefusal
}

type recordedRefusal struct {
	Refusal
	recordedAt time.Time
}

// Record records a refusal and drops expired ones.
func (r *RetryDetector) Record(refusal Refusal, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byFingerprint == nil {
		r.byFingerprint = make(map[uint64][]recordedRefusal)
	}
	recorded := recordedRefusal{Refusal: refusal, recordedAt: now}
	r.byFingerprint[refusal.Fingerprint] = append(r.byFingerprint[refusal.Fingerprint], recorded)
	r.oldestFirst = append(r.oldestFirst, recorded)
	for len(r.oldestFirst) > maxRefusals || len(r.oldestFirst) > 0 && now.Sub(r.oldestFirst[0].recordedAt) > retryWindow {
		r.forget(r.oldestFirst[0])
		r.oldestFirst = r.oldestFirst[1:]
	}
}

// Match returns the time of a request's first try if the request retries a refused one. Each refusal matches once; equal
// requests are distinguished by their deadlines.
func (r *RetryDetector) Match(fingerprint uint64, deadline, now time.Time) (first time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, recorded := range r.byFingerprint[fingerprint] {
		if now.Sub(recorded.recordedAt) <= retryWindow && recorded.Deadline.Sub(deadline).Abs() <= deadlineTolerance {
			r.forget(recorded)
			return recorded.FirstTry, true
		}
	}
	return time.Time{}, false
}

// forget removes a refusal; mu is held.
func (r *RetryDetector) forget(recorded recordedRefusal) {
	all := r.byFingerprint[recorded.Fingerprint]
	for i := range all {
		if all[i] == recorded {
			all = append(all[:i], all[i+1:]...)
			break
		}
	}
	if len(all) == 0 {
		delete(r.byFingerprint, recorded.Fingerprint)
		return
	}
	r.byFingerprint[recorded.Fingerprint] = all
}
