package lab

import (
	"net/http"
	"sync"
	"time"
)

// Faults injects faults into a fake service; the zero value injects none.
type Faults struct {
	mu            sync.Mutex
	unavailable   bool
	delay         time.Duration
	lostResponses int
}

// LoseResponses makes the next n writes succeed but lose their response: the caller gets status 503.
func (f *Faults) LoseResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lostResponses = n
}

// SetDelay delays each call by d.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetUnavailable makes the service answer 503 to all calls, or ends that.
func (f *Faults) SetUnavailable(out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = out
}

// serveFault applies the delay, and answers 503 if the service is unavailable; it reports whether it answered.
func (f *Faults) serveFault(w http.ResponseWriter) bool {
	f.mu.Lock()
	out, delay := f.unavailable, f.delay
	f.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if out {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return out
}

// dropResponse reports whether the response to the current write is lost.
func (f *Faults) dropResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostResponses == 0 {
		return false
	}
	f.lostResponses--
	return true
}
