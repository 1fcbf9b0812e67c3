package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Tables and keys of the store.
const (
	TableDeclared = "op"
	TableServers  = "servers"
	KeyConfig     = "config"
	KeyVersion    = "version/"
	KeyEvacuate   = "evacuate/"
)

// Row is one row of the store.
type Row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	SchemaVer int64  `json:"schemaVer"`
	Deleted   bool   `json:"deleted,omitempty"`
}

// maxTxRows is the largest number of rows in one transaction.
const maxTxRows = 100

type rowsBody struct {
	Rows      []Row `json:"rows"`
	HasMore   bool  `json:"hasMore"`
	SchemaVer int64 `json:"schemaVer"`
	NowMs     int64 `json:"nowMs"`
	epoch     int64
}

// Store is a fake of the platform's store; it serves all changes since the last Compact.
type Store struct {
	startedAt time.Time

	mu          sync.Mutex
	version     int64
	compactedTo int64
	rows        map[string]Row
	changes     []Row
	changed     chan struct{}
	errorStatus int
	// epoch counts restores from a backup; history holds all changes with their times.
	epoch   int64
	history []timedChange
	// listBytes counts the bytes read from the list of servers.
	listBytes atomic.Int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{startedAt: time.Now(), rows: make(map[string]Row), changed: make(chan struct{})}
}

// Put writes a row; a nil value removes it.
func (s *Store) Put(table, key string, value any) {
	var data []byte
	if value != nil {
		var err error
		if data, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]Row{{Table: table, Key: key, Value: data, Deleted: value == nil}})
}

// apply writes and removes rows in one transaction; the caller holds mu.
func (s *Store) apply(rows []Row) {
	s.version++
	for _, row := range rows {
		row.SchemaVer = s.version
		if row.Deleted {
			delete(s.rows, row.Table+"/"+row.Key)
		} else {
			s.rows[row.Table+"/"+row.Key] = row
		}
		s.changes = append(s.changes, row)
		s.history = append(s.history, timedChange{at: time.Now(), row: row})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// serveTx serves a daemon's transaction of written and removed rows; daemons may not change the list of servers.
func (s *Store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []Row `json:"expectRev"`
		Writes   []Row `json:"writes"`
		Remove   []Row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Writes)+len(tx.Remove) > maxTxRows {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for i := range tx.Remove {
		tx.Remove[i].Deleted = true
	}
	rows := slices.Concat(tx.Writes, tx.Remove)
	if slices.ContainsFunc(rows, func(row Row) bool { return row.Table == TableServers }) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body := s.newBody()
	for _, expected := range tx.Expected {
		if row := s.rows[expected.Table+"/"+expected.Key]; row.SchemaVer != expected.SchemaVer {
			body.Rows = append(body.Rows, row)
		}
	}
	if len(body.Rows) > 0 {
		w.Header().Set(headerEpoch, strconv.FormatInt(body.epoch, 10))
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, body)
		return
	}
	s.apply(rows)
	body = s.newBody()
	body.Rows = nil
	writeRows(w, body)
}

// SetErrorStatus makes all calls fail with an HTTP status; 0 ends that.
func (s *Store) SetErrorStatus(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.errorStatus = status
}

// Compact drops the change history, so that feeds from an earlier version get status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo, s.changes = s.version, nil
}

// ServeHTTP serves reads, feeds and transactions.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	status := s.errorStatus
	w.Header().Set(headerEpoch, strconv.FormatInt(s.epoch, 10))
	s.mu.Unlock()
	switch {
	case status != 0:
		w.WriteHeader(status)
	case r.URL.Path == "/rows-get":
		s.serveGet(w, r)
	case r.URL.Path == "/rows-feed":
		s.serveFeed(w, r)
	case r.URL.Path == "/rows-tx" && r.Method == http.MethodPost:
		s.serveTx(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	s.mu.Lock()
	body := s.newBody()
	for _, row := range s.rows {
		if row.Table == query.Get("table") && row.Key >= query.Get("from") {
			body.Rows = append(body.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(body.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if limit > 0 && len(body.Rows) > limit {
		body.Rows, body.HasMore = body.Rows[:limit], true
	}
	s.writeCounted(w, query.Get("table"), body)
}

// writeCounted writes a response and counts its bytes if it is of the list of servers.
func (s *Store) writeCounted(w http.ResponseWriter, table string, body rowsBody) {
	counted := &countingWriter{ResponseWriter: w}
	writeRows(counted, body)
	if table == TableServers {
		s.listBytes.Add(counted.n)
	}
}

// ListBytes returns the bytes read from the list of servers, by full reads and feeds.
func (s *Store) ListBytes() int64 { return s.listBytes.Load() }

type countingWriter struct {
	http.ResponseWriter
	n int64
}

// Write writes b and adds its length to the count.
func (w *countingWriter) Write(b []byte) (int, error) {
	n, err := w.ResponseWriter.Write(b)
	w.n += int64(n)
	return n, err
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("afterRev"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("waitMs"))
	deadline, expired := time.After(time.Duration(waitMs)*time.Millisecond), false
	for {
		s.mu.Lock()
		body, changed := s.newBody(), s.changed
		gone := after < s.compactedTo || after > s.version
		for _, row := range s.changes {
			if row.Table == query.Get("table") && row.SchemaVer > after {
				body.Rows = append(body.Rows, row)
			}
		}
		s.mu.Unlock()
		if gone {
			w.Header().Set(headerEpoch, strconv.FormatInt(body.epoch, 10))
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(body.Rows) > 0 {
			s.writeCounted(w, query.Get("table"), body)
			return
		}
		if expired {
			writeRows(w, body)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// newBody returns a response without rows; the caller holds mu.
func (s *Store) newBody() rowsBody {
	return rowsBody{Rows: []Row{}, SchemaVer: s.version, NowMs: time.Since(s.startedAt).Milliseconds(), epoch: s.epoch}
}

// writeRows writes a response with the epoch in which it was built.
func writeRows(w http.ResponseWriter, body rowsBody) {
	w.Header().Set(headerEpoch, strconv.FormatInt(body.epoch, 10))
	writeJSON(w, body)
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
