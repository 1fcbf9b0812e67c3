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
	Stage   string   `json:"stage"`
	Models  []Loaded `json:"models"`
	Busy    bool     `json:"busy"`
	Seq     int64    `json:"seq"`
	Waiting int      `json:"waiting"`
	Running int      `json:"running"`
	Born    int64    `json:"born"`
}

func (s *Server) report(w http.ResponseWriter) {
	s.mu.Lock()
	body := reportBody{
		Stage: "both", Models: s.models(), Busy: s.loading, Seq: s.seq, Waiting: s.waiting, Running: s.running, Born: s.born,
	}
	s.mu.Unlock()
	writeJSON(w, body)
}

// order takes the order to load what is staged, after what runs.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
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
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
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

// checkStaged records pieces that are not whole, but for those that turned bad just now; mu is held.
func (s *Server) checkStaged(version int64) {
	for piece := range Pieces {
		if bytes.Equal(s.staged[piece], Piece(version, piece)) || time.Since(s.rotted[piece]) < rotAllowed {
			continue
		}
		s.Runs.fault(fmt.Sprintf("%s takes version %d with a wrong piece %d", s.id, version, piece))
	}
}

// load has the version run once what runs has ended.
func (s *Server) load(version int64, start int) {
	s.mu.Lock()
	for s.running > 0 && s.starts == start {
		s.wait()
	}
	s.mu.Unlock()
	time.Sleep(loadTime)
	s.mu.Lock()
	stale := s.starts != start
	if !stale {
		s.loaded, s.loading = version, false
	}
	s.mu.Unlock()
	if !stale {
		s.Beat()
	}
}

// stage lays pieces down and gives them back.
func (s *Server) stage(w http.ResponseWriter, r *http.Request) {
	num := r.URL.Query().Get("num")
	piece, err := strconv.Atoi(num)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case strings.HasPrefix(r.URL.Path, "/stage-put/") && err == nil && r.Method == http.MethodPut:
		s.mu.Unlock()
		data, err := io.ReadAll(r.Body)
		s.mu.Lock()
		if err == nil {
			s.staged[piece] = data
			delete(s.rotted, piece)
		}
	case num == "":
		held := []int{}
		for piece := range s.staged {
			held = append(held, piece)
		}
		slices.Sort(held)
		writeJSON(w, map[string][]int{"held": held})
	case err == nil && s.staged[piece] != nil:
		_, _ = w.Write(s.staged[piece])
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// Wipe forgets all that is staged, as a loss of power does.
func (s *Server) Wipe() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staged, s.rotted = make(map[int][]byte), make(map[int]time.Time)
}
