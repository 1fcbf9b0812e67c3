package lab

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
)

// Plain is a fake plain service: it counts each request and echoes it.
type Plain struct {
	// Runs counts the requests that ran.
	Runs Runs
}

// PlainAnswer is the response of Plain.
type PlainAnswer struct {
	Path    string `json:"path"`
	Request string `json:"request"`
	Echo    string `json:"echo"`
}

// Handler returns the HTTP handler of the service.
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

// Runs counts how often each request ran, by request ID; the zero value is ready to use.
type Runs struct {
	mu    sync.Mutex
	count map[string]int
}

// Count returns the number of runs of a request.
func (r *Runs) Count(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

// Counts returns the number of runs by request ID.
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
