package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Tables and keys of the platform's store.
const (
	tableDeclared = "op"
	tableServers  = "servers"
	keyConfig     = "config"
	keyVersion    = "version/"

	maxTxRows   = 100
	maxPageRows = 500
)

type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	SchemaVer int64  `json:"schemaVer"`
	Deleted   bool   `json:"deleted,omitempty"`
}

type rowsBody struct {
	Rows      []row `json:"rows"`
	HasMore   bool  `json:"hasMore"`
	SchemaVer int64 `json:"schemaVer"`
	NowMs     int64 `json:"nowMs"`
}

// store stands in for the platform's store, as far as the daemons call it. It keeps its whole history.
type store struct {
	began time.Time

	mu      sync.Mutex
	version int64
	rows    map[string]row
	changes []row
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
}

// put writes a row as the operator or a server does; a nil value removes it.
func (s *store) put(table, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: data, Deleted: value == nil}})
}

// apply makes one transaction of rows; mu is held.
func (s *store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		r.SchemaVer = s.version
		if id := r.Table + "\x00" + r.Part + "\x00" + r.Key; r.Deleted {
			delete(s.rows, id)
		} else {
			s.rows[id] = r
		}
		s.changes = append(s.changes, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls for rows.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /rows-get":
		s.serveGet(w, r)
	case "GET /rows-feed":
		s.serveFeed(w, r)
	case "POST /rows-tx":
		s.serveTx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	until := query.Get("targetVersion")
	s.mu.Lock()
	body := s.body()
	for _, r := range s.rows {
		if r.Table == query.Get("table") && r.Part == query.Get("part") && r.Key >= query.Get("from") && (until == "" || r.Key < until) {
			body.Rows = append(body.Rows, r)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(body.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(body.Rows) > limit {
		body.Rows, body.HasMore = body.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, body)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("afterRev"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		body, changed := s.body(), s.changed
		for _, r := range s.changes {
			if r.Table == query.Get("table") && r.SchemaVer > after {
				body.Rows = append(body.Rows, r)
			}
		}
		s.mu.Unlock()
		if len(body.Rows) > 0 {
			writeJSON(w, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, body)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectRev []row `json:"expectRev"`
		Writes    []row `json:"writes"`
		Remove    []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Writes)+len(tx.Remove) > maxTxRows || len(tx.ExpectRev) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for i := range tx.Remove {
		tx.Remove[i].Deleted = true
	}
	rows := slices.Concat(tx.Writes, tx.Remove)
	if slices.ContainsFunc(rows, func(r row) bool { return r.Table == tableServers }) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	s.apply(rows)
	body := s.body()
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// body returns an answer without rows; mu is held.
func (s *store) body() rowsBody {
	return rowsBody{Rows: []row{}, SchemaVer: s.version, NowMs: time.Since(s.began).Milliseconds()}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
