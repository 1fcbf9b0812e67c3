package standin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	loadTime        = 150 * time.Millisecond
	queueTimeout    = 3 * time.Second
	eventInterval   = 15 * time.Millisecond
	workTime        = 10 * time.Millisecond
	corruptionGrace = 3 * time.Second
	idleTimeout     = 3 * time.Second
	// priorities is the number of priorities, 0 the most urgent; a request without a valid one has defaultPriority.
	priorities      = 10
	defaultPriority = 5
)

// HealthPath is the path of a health check that names the server.
const HealthPath = "/health"

// Faults is the set of faults that a server injects; the zero value is none. A number n selects every n-th request.
type Faults struct {
	// Hang starts requests and never responds.
	Hang bool
	// DropResponse runs the request and closes the connection without a response.
	DropResponse int
	Truncate     int
	// ExtraResponse sends a second, unrequested response on the connection.
	ExtraResponse int
	// Fail responds with status 500.
	Fail int
	// Shed refuses the request with status 503 without running it.
	Shed int
}

// BoxDelays are how long a model server takes for calls of its box.
type BoxDelays struct {
	// Report and Stage are for a report, and for writing or reading a piece; Order is until an order is taken.
	Report, Stage, Order time.Duration
}

// Server is a model server, or a plain service when Model is empty.
type Server struct {
	// Address is where callers reach the server, Listen where it listens; they differ behind a proxy.
	Address  string
	Listen   string
	Service  string
	Zone     string
	Model    string
	Slots    int
	Store    *Store
	Recorder *Recorder
	// ColdStart is how long the server is cold after each start but its first.
	ColdStart time.Duration
	// Unframed makes every n-th stream have neither a length nor chunks, for a number n.
	Unframed int
	// OnCrash, if set, is called after a request has crashed the server.
	OnCrash func(request string)

	mu       sync.Mutex
	id       string
	starts   int
	born     int64
	draining time.Time
	loaded   int64
	loading  bool
	seq      int64
	running  int
	waiting  int
	// waitingBy counts the waiting requests by priority.
	waitingBy   [priorities]int
	staged      map[int][]byte
	corruptedAt map[int]time.Time
	faults      Faults
	// headInterval is how many requests are answered until a response with an invalid head; 0 for none.
	headInterval int
	boxDelays    BoxDelays
	pushback     Pushback
	requests     int
	coldUntil    time.Time
	idle         chan struct{}
	http         *http.Server
}

// Start starts the server under a new ID; staged pieces survive a crash.
func (s *Server) Start(version int64) error { return s.start(version, false) }

// Restart starts the server under its old ID with no loaded version; staged pieces are kept.
func (s *Server) Restart() error { return s.start(0, true) }

func (s *Server) start(version int64, keepID bool) error {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.born = time.Now().UnixMilli()
	if !keepID {
		s.id = s.newID()
	}
	s.draining, s.loaded, s.loading, s.seq = time.Time{}, version, false, 0
	s.faults, s.boxDelays, s.pushback = Faults{}, BoxDelays{}, Pushback{}
	if s.starts > 1 {
		s.turnCold(s.ColdStart)
	}
	if s.staged == nil {
		s.staged, s.corruptedAt = make(map[int][]byte), make(map[int]time.Time)
	}
	s.idle = make(chan struct{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Second, IdleTimeout: idleTimeout}
	server := s.http
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	s.WriteHeartbeat()
	return nil
}

// newID returns an unused ID; the caller holds mu.
func (s *Server) newID() string {
	return fmt.Sprintf("i-%s-%d", strings.NewReplacer(":", "-", ".", "-").Replace(s.Address), s.starts)
}

// Crash stops the server at once; its row stays until Deregister.
func (s *Server) Crash() {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	_ = server.Close()
}

func (s *Server) crashOn(request string) {
	s.Crash()
	if s.OnCrash != nil {
		s.OnCrash(request)
	}
}

// Deregister deletes the server's row.
func (s *Server) Deregister() { s.Store.Put(TableServers, s.ID(), nil) }

// Drain announces that the server leaves; it continues to serve requests.
func (s *Server) Drain() {
	s.mu.Lock()
	s.draining = time.Now()
	s.mu.Unlock()
	s.WriteHeartbeat()
}

// ID returns the ID of this incarnation.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Loaded returns the loaded version; 0 means none.
func (s *Server) Loaded() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

// SetFaults sets the injected faults.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetBoxDelays sets how long the server takes for calls of its box.
func (s *Server) SetBoxDelays(delays BoxDelays) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.boxDelays = delays
}

// SetInvalidHeads makes every n-th response have an invalid head; 0 ends that.
func (s *Server) SetInvalidHeads(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.headInterval = n
}

func (s *Server) delays() BoxDelays {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boxDelays
}

// CorruptPiece corrupts a staged piece.
func (s *Server) CorruptPiece(piece int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if data := s.staged[piece]; len(data) > 0 {
		data[0] ^= 1
		s.corruptedAt[piece] = time.Now()
	}
}

// WriteHeartbeat writes the server's row.
func (s *Server) WriteHeartbeat() {
	s.mu.Lock()
	row := Heartbeat{Service: s.Service, Address: s.Address, Zone: s.Zone, Slots: s.Slots, State: StateReady, Models: s.models(), Seq: s.seq, Born: s.born, ColdLeftMs: s.coldLeftMs()}
	if !s.draining.IsZero() {
		row.State = StateDraining
	}
	id := s.id
	s.mu.Unlock()
	s.Store.Put(TableServers, id, row)
}

// models returns the loaded models; the caller holds mu.
func (s *Server) models() []LoadedModel {
	if s.Model == "" || s.loaded == 0 {
		return []LoadedModel{}
	}
	return []LoadedModel{{Name: s.Model, Version: s.loaded}}
}

// ServeHTTP serves the management calls of a box and callers' requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/report":
		s.serveReport(w)
	case r.URL.Path == "/order" && r.Method == http.MethodPost:
		s.serveOrder(w, r)
	case strings.HasPrefix(r.URL.Path, "/stage-"):
		s.serveStage(w, r)
	case r.URL.Path == HealthPath:
		w.Header().Set("X-Instance", s.ID())
	default:
		s.serveRequest(w, r)
	}
}

// startRequest waits for a free slot and starts the request; a status other than 0 refuses it before it has run.
func (s *Server) startRequest(r *http.Request) (run Run, status int) {
	id := r.Header.Get("X-Request-Id")
	s.Recorder.recordArrival(Arrival{ID: id, Service: s.Service, Server: s.ID(), Zone: s.Zone, At: time.Now()})
	deadline := time.Now().Add(queueTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	if s.pushback.Pause > 0 {
		return Run{}, http.StatusServiceUnavailable
	}
	priority := requestPriority(r)
	for s.loading || s.running >= s.Slots || s.urgentWaits(priority) {
		if s.loading || s.waiting >= s.Slots || time.Now().After(deadline) || r.Context().Err() != nil {
			return Run{}, http.StatusServiceUnavailable
		}
		s.pollWait(priority)
	}
	expect, _ := strconv.ParseInt(r.Header.Get("X-Expect-Version"), 10, 64)
	instance := r.Header.Get("X-Expect-Instance")
	switch {
	case instance != "" && instance != s.id, s.Model != "" && (s.loaded == 0 || expect != 0 && expect != s.loaded):
		return Run{}, http.StatusMisdirectedRequest
	case id == "":
		return Run{}, http.StatusBadRequest
	case isNth(s.faults.Shed, s.requests):
		return Run{}, http.StatusServiceUnavailable
	}
	run = Run{
		ID: id, Server: s.id, Service: s.Service, Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant"), Version: s.loaded,
		Resumed: r.Header.Get("Last-Event-Id") != "", Began: time.Now(), Draining: s.draining,
	}
	s.running++
	s.Recorder.recordRun(run)
	return run, 0
}

// requestPriority returns the priority that a request asks for, or the default.
func requestPriority(r *http.Request) int {
	priority, err := strconv.Atoi(r.Header.Get("X-Request-Priority"))
	if err != nil || priority < 0 || priority >= priorities {
		return defaultPriority
	}
	return priority
}

// urgentWaits reports whether a more urgent request waits for a slot; the caller holds mu.
func (s *Server) urgentWaits(priority int) bool {
	for _, waiting := range s.waitingBy[:priority] {
		if waiting > 0 {
			return true
		}
	}
	return false
}

// pollWait waits for one poll interval as a request of a priority; the caller holds mu, which is released meanwhile.
func (s *Server) pollWait(priority int) {
	s.waiting++
	s.waitingBy[priority]++
	s.mu.Unlock()
	time.Sleep(eventInterval / 3)
	s.mu.Lock()
	s.waiting--
	s.waitingBy[priority]--
}

func isNth(n, count int) bool { return n > 0 && count%n == 0 }

// Idle reports whether no request is running.
func (s *Server) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0
}

func (s *Server) endRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
