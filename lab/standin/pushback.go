package standin

import (
	"net/http"
	"strconv"
	"time"
)

// Pushback is the load information that a server sends to its callers in response headers; the zero value sends none.
type Pushback struct {
	// Limited sends Limit, the requests per second that the server accepts from all callers together.
	Limited bool
	Limit   float64
	// Leaving announces that the server leaves, independently of its row.
	Leaving bool
	// Pause makes the server refuse all requests and ask each caller to pause for this long.
	Pause time.Duration
}

// PushbackRecord records the pushback headers of one response.
type PushbackRecord struct {
	Pushback
	// ID is the request's ID.
	ID     string
	Server string
	At     time.Time
}

// SetPushback sets the pushback of all further responses.
func (s *Server) SetPushback(p Pushback) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pushback = p
}

// currentPushback returns the pushback to send; a draining server always announces that it leaves.
func (s *Server) currentPushback() Pushback {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pushback
	p.Leaving = p.Leaving || !s.draining.IsZero()
	return p
}

// setPushbackHeaders sets the response headers and records the pushback.
func (s *Server) setPushbackHeaders(h http.Header, id string, p Pushback) {
	if p.Limited {
		h.Set("Server-Limit", strconv.FormatFloat(p.Limit, 'f', -1, 64))
	}
	if p.Leaving {
		h.Set("Server-Leaving", "1")
	}
	if p.Pause > 0 {
		h.Set("Retry-After", strconv.FormatFloat(p.Pause.Seconds(), 'f', -1, 64))
	}
	s.Recorder.recordPushback(PushbackRecord{Pushback: p, ID: id, Server: s.ID(), At: time.Now()})
}
