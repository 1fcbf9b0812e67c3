package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

type reportBody struct {
	Stage   string        `json:"stage"`
	Models  []LoadedModel `json:"models"`
	Busy    bool          `json:"busy"`
	Seq     int64         `json:"seq"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Born    int64         `json:"born"`
}

func (s *Server) serveReport(w http.ResponseWriter) {
	time.Sleep(s.delays().Report)
	s.mu.Lock()
	body := reportBody{
		Stage: "both", Models: s.models(), Busy: s.loading, Seq: s.seq, Waiting: s.waiting, Running: s.running, Born: s.born,
	}
	s.mu.Unlock()
	writeJSON(w, body)
}

// serveOrder accepts an order to load the staged pieces, which starts once the running requests have ended.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op        string `json:"op"`
		Model     string `json:"model"`
		Version   int64  `json:"version"`
		ExpectRev *int64 `json:"expectRev"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "start" || order.Model != s.Model {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	start := s.startCount()
	time.Sleep(s.delays().Order)
	s.mu.Lock()
	defer s.mu.Unlock()
	instance := r.Header.Get("X-Expect-Instance")
	switch {
	case s.starts != start, instance != "" && instance != s.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case order.Version == s.loaded:
		w.WriteHeader(http.StatusOK)
	case s.loading || order.ExpectRev != nil && *order.ExpectRev != s.seq:
		w.WriteHeader(http.StatusConflict)
	default:
		s.checkStaged(order.Version)
		s.seq++
		s.loading = true
		go s.load(order.Version, s.starts)
		w.WriteHeader(http.StatusAccepted)
	}
}

// startCount returns how many times the server has started.
func (s *Server) startCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts
}

// checkStaged records a violation for each staged piece with wrong content unless it was corrupted recently; the caller holds mu.
func (s *Server) checkStaged(version int64) {
	for piece := range Pieces {
		if bytes.Equal(s.staged[piece], Piece(version, piece)) || time.Since(s.corruptedAt[piece]) < corruptionGrace {
			continue
		}
		s.Recorder.recordViolation(fmt.Sprintf("%s loads version %d with a corrupt piece %d", s.id, version, piece))
	}
}

// load waits for the running requests to end, then makes the version the loaded one unless the server has restarted.
func (s *Server) load(version int64, start int) {
	s.mu.Lock()
	for s.running > 0 && s.starts == start {
		s.pollWait(defaultPriority)
	}
	s.mu.Unlock()
	time.Sleep(loadTime)
	s.mu.Lock()
	restarted := s.starts != start
	if !restarted {
		s.loaded, s.loading = version, false
	}
	s.mu.Unlock()
	if !restarted {
		s.WriteHeartbeat()
	}
}

// serveStage stores staged pieces, lists them and returns their content.
func (s *Server) serveStage(w http.ResponseWriter, r *http.Request) {
	num := r.URL.Query().Get("num")
	piece, err := strconv.Atoi(num)
	time.Sleep(s.delays().Stage)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.HasPrefix(r.URL.Path, "/stage-put/") && err == nil && r.Method == http.MethodPut:
		s.mu.Unlock()
		data, err := io.ReadAll(r.Body)
		s.mu.Lock()
		if err == nil {
			s.staged[piece] = data
			delete(s.corruptedAt, piece)
		}
	case num == "":
		staged := []int{}
		for piece := range s.staged {
			staged = append(staged, piece)
		}
		slices.Sort(staged)
		writeJSON(w, map[string][]int{"held": staged})
	case err == nil && s.staged[piece] != nil:
		_, _ = w.Write(s.staged[piece])
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// WipeStaged drops all staged pieces, as a power loss does.
func (s *Server) WipeStaged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged, s.corruptedAt = make(map[int][]byte), make(map[int]time.Time)
}
