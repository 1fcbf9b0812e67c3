package lab

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// Plain stands in for a plain service: it records each call and answers with what it was asked.
type Plain struct {
	// Runs records which requests ran.
	Runs Runs
}

// PlainAnswer is the stand-in's answer.
type PlainAnswer struct {
	Path    string `json:"path"`
	Request string `json:"request"`
	Echo    string `json:"echo"`
}

// Handler returns the handler that serves the plain service.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /runs", p.Runs.serve)
	mux.HandleFunc("/", p.serve)
	return mux
}

func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(requestHeader)
	p.Runs.add(id)
	writeJSON(w, PlainAnswer{Path: r.URL.Path, Request: id, Echo: string(body)})
}

// Runs counts how often each request ran, by its id; a zero Runs is empty.
type Runs struct {
	mu    sync.Mutex
	count map[string]int
}

// Count returns how often a request ran.
func (r *Runs) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

// Counts returns how often each request ran.
func (r *Runs) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make(map[string]int, len(r.count))
	for id, n := range r.count {
		counts[id] = n
	}
	return counts
}

func (r *Runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = make(map[string]int)
	}
	r.count[id]++
}

func (r *Runs) serve(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(r.Counts())
}
