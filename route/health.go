package route

import (
	"sync"
	"time"
)

// Limits of ejection.
const (
	// failuresBeforeEjection is the number of failures in a row after which a box is left out.
	failuresBeforeEjection = 3
	// ejectionTime is how long a box is left out the first time; it doubles with each further time.
	ejectionTime = 2 * time.Second
	// maxEjectionTime bounds how long a box is left out.
	maxEjectionTime = 30 * time.Second
	// maxEjectedShare is the part, in percent, of a service's boxes that may be left out at a time.
	maxEjectedShare = 50
)

// Health leaves out boxes that fail again and again, but never most of a service; a zero Health knows of no failure.
type Health struct {
	mu    sync.Mutex
	boxes map[string]*record
}

type record struct {
	failures int
	times    int
	until    time.Time
}

// Failed notes that a box failed a request.
func (h *Health) Failed(id string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.boxes == nil {
		h.boxes = make(map[string]*record)
	}
	r := h.boxes[id]
	if r == nil {
		r = &record{}
		h.boxes[id] = r
	}
	r.failures++
	if r.failures < failuresBeforeEjection {
		return
	}
	r.failures = 0
	r.until = now.Add(min(maxEjectionTime, ejectionTime<<min(r.times, 10)))
	r.times++
}

// Succeeded notes that a box answered a request.
func (h *Health) Succeeded(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.boxes, id)
}

// Filter returns the candidates that are not left out; all of them when too many would be.
func (h *Health) Filter(candidates []Candidate, now time.Time) []Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	healthy := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if r := h.boxes[c.ID]; r == nil || !now.Before(r.until) {
			healthy = append(healthy, c)
		}
	}
	if (len(candidates)-len(healthy))*100 > len(candidates)*maxEjectedShare {
		return candidates
	}
	return healthy
}
