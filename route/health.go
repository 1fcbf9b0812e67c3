package route

import (
	"sync"
	"time"
)

const (
	// failuresBeforeEjection is the number of consecutive failures after which a box is ejected.
	failuresBeforeEjection = 3
	// ejectionTime is the duration of the first ejection; it doubles with each further one.
	ejectionTime    = 2 * time.Second
	maxEjectionTime = 30 * time.Second
	// maxEjectedPercent is the largest percentage of a service's boxes that may be ejected at a time.
	maxEjectedPercent = 50
)

// Health ejects boxes that fail repeatedly, but never most of a service. The zero value is ready to use.
type Health struct {
	mu    sync.Mutex
	boxes map[string]*boxHealth
}

type boxHealth struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
}

// Failed records that a box failed a request.
func (h *Health) Failed(id string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.boxes == nil {
		h.boxes = make(map[string]*boxHealth)
	}
	box := h.boxes[id]
	if box == nil {
		box = &boxHealth{}
		h.boxes[id] = box
	}
	box.failures++
	if box.failures < failuresBeforeEjection {
		return
	}
	box.failures = 0
	box.ejectedUntil = now.Add(min(maxEjectionTime, ejectionTime<<min(box.ejections, 10)))
	box.ejections++
}

// Succeeded records that a box served a request, which resets its failures and ejections.
func (h *Health) Succeeded(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.boxes, id)
}

// Filter returns the candidates that are not ejected, or all of them if too many are.
func (h *Health) Filter(candidates []Candidate, now time.Time) []Candidate {
	h.mu.Lock()
	defer h.mu.Unlock()
	healthy := make([]Candidate, 0, len(candidates))
	for _, c := range candidates {
		if box := h.boxes[c.ID]; box == nil || !now.Before(box.ejectedUntil) {
			healthy = append(healthy, c)
		}
	}
	if (len(candidates)-len(healthy))*100 > len(candidates)*maxEjectedPercent {
		return candidates
	}
	return healthy
}
