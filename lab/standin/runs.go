package standin

import (
	"sync"
	"time"
)

// Run is one request that a server started to process.
type Run struct {
	ID      string
	Server  string
	Service string
	Path    string
	Tenant  string
	// Version is the weights version at the start; 0 at a plain service.
	Version int64
	// Resumed reports that the request resumes a stream after events already received.
	Resumed bool
	Began   time.Time
	// Draining is when the server started draining; zero if it was not.
	Draining time.Time
}

// Recorder records what all servers ran and the protocol violations that they observed.
type Recorder struct {
	mu         sync.Mutex
	runs       []Run
	arrivals   []Arrival
	pushbacks  []PushbackRecord
	violations []string
	coldSpans  []ColdSpan
}

// Arrival is one request that reached a server, whether or not it ran.
type Arrival struct {
	ID      string
	Service string
	Server  string
	Zone    string
	At      time.Time
}

// Runs returns all runs so far in start order.
func (rs *Recorder) Runs() []Run {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]Run(nil), rs.runs...)
}

// Arrivals returns all requests that reached a server.
func (rs *Recorder) Arrivals() []Arrival {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]Arrival(nil), rs.arrivals...)
}

// Pushbacks returns the pushback of all responses, including empty pushback, in start order.
func (rs *Recorder) Pushbacks() []PushbackRecord {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]PushbackRecord(nil), rs.pushbacks...)
}

// Violations returns the protocol violations observed, such as an order to load corrupt pieces.
func (rs *Recorder) Violations() []string {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	return append([]string(nil), rs.violations...)
}

func (rs *Recorder) recordRun(run Run) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.runs = append(rs.runs, run)
}

func (rs *Recorder) recordArrival(a Arrival) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.arrivals = append(rs.arrivals, a)
}

func (rs *Recorder) recordPushback(record PushbackRecord) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.pushbacks = append(rs.pushbacks, record)
}

func (rs *Recorder) recordViolation(violation string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.violations = append(rs.violations, violation)
}
