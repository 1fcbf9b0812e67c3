package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelSlots     = 16
	warmTime       = 300 * time.Millisecond
	eventInterval  = 12 * time.Millisecond
	tokensPerEvent = 5
	slotPoll       = 5 * time.Millisecond
)

// modelServer stands in for a model server.
type modelServer struct {
	rig     *rig
	id      string
	zone    string
	address string
	ran     *runLog

	mu sync.Mutex
	// slowUntil is until when it takes slowFactor times as long as usual.
	slowUntil time.Time
	// breakShare is the share of its answers that it breaks off in the middle of an event.
	breakShare float64
	// unframed answers have no length and end with their channel.
	unframed bool
	http     *http.Server
	loaded   int64
	wrong    []string
	busy     bool
	seq      int64
	running  int
	waiting  int
	staged   map[int][]byte
	// allStaged is closed once all pieces of version awaits are staged.
	awaits    int64
	allStaged chan struct{}
	// tainted are the requests to which it made tokens with a layer taken while a piece of it was wrong.
	tainted []string
	served  int
}

// addModelServer starts the n-th model server. One that runs a version has that version staged too.
func (r *rig) addModelServer(n int, version int64) (*modelServer, error) {
	s := r.newModelServer(fmt.Sprintf("i-model%d", n), zones[(n-1)%len(zones)], r.address(groupSide, n, serverPort))
	s.loaded = version
	if version > 0 {
		for piece := range pieceCount {
			s.staged[piece] = pieceData(version, piece)
		}
	}
	return s, s.start()
}

func (r *rig) newModelServer(id, zone, address string) *modelServer {
	s := &modelServer{
		rig: r, id: id, zone: zone, address: address, ran: &r.streams, staged: make(map[int][]byte), allStaged: make(chan struct{}),
	}
	r.closers = append(r.closers, s.crash)
	return s
}

// start starts the server and lists it.
func (s *modelServer) start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: serverIdle, IdleTimeout: serverIdle}
	server := s.http
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	s.rig.line("server %s starts and runs version %d", s.id, s.loaded)
	s.list()
	return nil
}

// crash closes the server's port and all its channels.
func (s *modelServer) crash() {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// restart starts a new incarnation at the server's address, which runs no version. What was staged is still there.
func (s *modelServer) restart() error {
	next := s.rig.newModelServer(s.id+"b", s.zone, s.address)
	s.mu.Lock()
	next.staged, next.unframed = s.staged, s.unframed
	s.mu.Unlock()
	return next.start()
}

// work takes as long as the server needs for what usually takes d.
func (s *modelServer) work(d time.Duration) {
	s.mu.Lock()
	slow := time.Now().Before(s.slowUntil)
	s.mu.Unlock()
	if slow {
		d *= slowFactor
	}
	time.Sleep(d)
}

// turnSlow makes the server slow for a time.
func (s *modelServer) turnSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowUntil = time.Now().Add(d)
}

func (s *modelServer) setBreakShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breakShare = share
}

// breaksOff reports whether the server breaks off its next answer.
func (s *modelServer) breaksOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.breakShare
}

// list writes the server's row.
func (s *modelServer) list() {
	s.mu.Lock()
	entry := serverRow{
		Service: modelService, Address: s.address, Zone: s.zone, Version: "v1", Slots: modelSlots, State: "ready", Stage: "both",
		Models: s.models(), Seq: s.seq,
	}
	s.mu.Unlock()
	s.rig.store.put(tableServers, s.id, entry)
}

// models returns the loaded model; mu is held.
func (s *modelServer) models() []loadedModel {
	if s.loaded == 0 {
		return []loadedModel{}
	}
	return []loadedModel{{Name: modelName, Version: s.loaded, Adapters: []string{}}}
}

// ServeHTTP serves the box's calls and requests.
func (s *modelServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/report":
		s.serveReport(w)
	case path == "/order" && r.Method == http.MethodPost:
		s.serveOrder(w, r)
	case path == "/stage-put/"+modelName && r.Method == http.MethodPut:
		s.servePut(w, r)
	case path == "/stage-get/"+modelName:
		s.serveGet(w, r)
	case path == "/health":
		w.Header().Set("X-Instance", s.id)
	default:
		s.serveRequest(w, r)
	}
}

type reportBody struct {
	Stage   string        `json:"stage"`
	Models  []loadedModel `json:"models"`
	Busy    bool          `json:"busy"`
	Seq     int64         `json:"seq"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	KvUsed  int           `json:"kvUsed"`
	KvTotal int           `json:"kvTotal"`
	Handles int           `json:"handles"`
}

func (s *modelServer) serveReport(w http.ResponseWriter) {
	s.work(usualReportTime)
	s.mu.Lock()
	body := reportBody{Stage: "both", Models: s.models(), Busy: s.busy, Seq: s.seq, Waiting: s.waiting, Running: s.running, KvTotal: 1_180_000}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// serveOrder takes what lies there as it takes the order, and runs it after what runs now.
func (s *modelServer) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op        string `json:"op"`
		Model     string `json:"model"`
		Version   int64  `json:"version"`
		ExpectRev *int64 `json:"expectRev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "start" || order.Model != modelName {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case order.Version == s.loaded && !s.busy:
		w.WriteHeader(http.StatusOK)
	case s.busy || order.ExpectRev != nil && *order.ExpectRev != s.seq:
		w.WriteHeader(http.StatusConflict)
	default:
		var wrong []string
		for piece := range pieceCount {
			if what := describePiece(s.staged[piece], piece, order.Version+1); what != fmt.Sprintf("of version %d", order.Version) {
				wrong = append(wrong, fmt.Sprintf("%d %s", piece, what))
			}
		}
		s.seq++
		s.busy = true
		s.rig.line("server %s takes the order to run version %d; wrong pieces: [%s]", s.id, order.Version, strings.Join(wrong, ", "))
		go s.load(order.Version, wrong)
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *modelServer) load(version int64, wrong []string) {
	s.mu.Lock()
	for s.running > 0 {
		s.mu.Unlock()
		time.Sleep(slotPoll)
		s.mu.Lock()
	}
	s.mu.Unlock()
	time.Sleep(warmTime)
	s.mu.Lock()
	s.loaded, s.wrong, s.busy = version, wrong, false
	s.mu.Unlock()
	s.rig.line("server %s runs version %d", s.id, version)
	s.list()
}

func (s *modelServer) servePut(w http.ResponseWriter, r *http.Request) {
	piece, err := strconv.Atoi(r.URL.Query().Get("num"))
	data, readErr := io.ReadAll(r.Body)
	if err != nil || readErr != nil || piece < 0 || piece >= pieceCount {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged[piece] = data
	s.rig.line("server %s: piece %d is put", s.id, piece)
	if s.awaits == 0 {
		return
	}
	for piece := range pieceCount {
		if len(s.staged[piece]) == 0 {
			return
		}
	}
	s.awaits = 0
	close(s.allStaged)
}

func (s *modelServer) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	num := r.URL.Query().Get("num")
	if num == "" {
		held := []int{}
		for piece := range s.staged {
			held = append(held, piece)
		}
		slices.Sort(held)
		writeJSON(w, http.StatusOK, map[string][]int{"held": held})
		return
	}
	piece, err := strconv.Atoi(num)
	if err != nil || s.staged[piece] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(s.staged[piece])
}

// awaitStaged closes the returned channel once all pieces are staged.
func (s *modelServer) awaitStaged(version int64) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaits = version
	return s.allStaged
}

func (s *modelServer) hasLoaded(version int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded == version
}

// admit waits for a slot and returns the version that runs the request, or the status with which it is rejected.
func (s *modelServer) admit(r *http.Request) (version int64, wrong []string, rejected int) {
	instance, expected := r.Header.Get("X-Expect-Instance"), r.Header.Get("X-Expect-Version")
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.running >= modelSlots && r.Context().Err() == nil {
		s.waiting++
		s.mu.Unlock()
		time.Sleep(slotPoll)
		s.mu.Lock()
		s.waiting--
	}
	switch {
	case instance != "" && instance != s.id, s.loaded == 0, expected != "" && expected != strconv.FormatInt(s.loaded, 10):
		return 0, nil, http.StatusMisdirectedRequest
	case s.busy || r.Context().Err() != nil:
		return 0, nil, http.StatusServiceUnavailable
	}
	s.running++
	return s.loaded, s.wrong, 0
}

// serveRequest streams the answer to a request.
func (s *modelServer) serveRequest(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	version, wrong, rejected := s.admit(r)
	if rejected != 0 {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Instance", s.id)
		w.WriteHeader(rejected)
		return
	}
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	_, out, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(out)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Seal", seal(s.id, id, http.StatusOK))
	w.Header().Set("X-Weight-Versions", strconv.FormatInt(version, 10))
	if s.isUnframed() {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	flush := http.NewResponseController(w).Flush
	events, breaksOff := max(tokens/tokensPerEvent, 1), s.breaksOff()
	for n := last + 1; n <= events; n++ {
		s.work(eventInterval)
		if r.Context().Err() != nil {
			return
		}
		if n == last+1 {
			s.recordToken(id, version, wrong)
		}
		if breaksOff && n > events/2 {
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = flush()
			s.rig.line("server %s breaks off its answer to %s within event %d", s.id, id, n)
			resetChannel(w)
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s version %d\n\n", n, id, version)
		_ = flush()
	}
}

func (s *modelServer) isUnframed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unframed
}

// recordToken records the first token of a request.
func (s *modelServer) recordToken(id string, version int64, wrong []string) {
	s.ran.add(ranRequest{id: id, server: s.id, at: time.Now()})
	s.mu.Lock()
	s.served++
	if len(wrong) > 0 {
		s.tainted = append(s.tainted, id)
	}
	s.mu.Unlock()
	if len(wrong) > 0 {
		s.rig.line("WHOLE: server %s makes a token of %s on version %d with %d wrong pieces", s.id, id, version, len(wrong))
	}
}
