package lab

import (
	"net/http"
	"sync"
	"time"
)

// Faults are the ways in which a stand-in misbehaves; the zero value is healthy.
type Faults struct {
	mu         sync.Mutex
	out        bool
	delay      time.Duration
	loseAnswer int
}

// LoseAnswers lets the next n writes take effect without an answer.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswer = n
}

// SetDelay makes each call take that much longer.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// SetOut takes the service out, or brings it back.
func (f *Faults) SetOut(out bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.out = out
}

// refuse answers for a service that is out and reports whether it did.
func (f *Faults) refuse(w http.ResponseWriter) bool {
	f.mu.Lock()
	out, delay := f.out, f.delay
	f.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if out {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return out
}

// loses reports whether the answer to the write just made is lost.
func (f *Faults) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseAnswer == 0 {
		return false
	}
	f.loseAnswer--
	return true
}
