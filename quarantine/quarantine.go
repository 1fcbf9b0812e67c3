package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/discovery"
)

const (
	// Retention is how long records are kept: long enough for an operator to notice, short enough that a request is accepted
	// again after its engine was fixed.
	Retention = time.Hour
	// retentionJitter is the maximum time added per entry, so that usually one entry removes expired records for all.
	retentionJitter = 10 * time.Minute
	// maxRequestsPerExit bounds the requests in one exit record.
	// Each takes 34 bytes at the store.
	maxRequestsPerExit = 128
	// minSharedExits is how many exits a response has to clear to be shared with other entries.
	minSharedExits = quarantineThreshold - 1
)

// Options configure a Quarantine. Without a Store it has only its own entry's records.
type Options struct {
	Entry string
	Store Store
	Log   log.Interface
	// Wait is the long-poll timeout of calls for changes.
	Wait time.Duration
	// PeerActive reports whether a peer entry relays the stored records, so that the store is not read; nil means no peer does.
	PeerActive func() bool
}

// Quarantine decides which requests are quarantined. It is safe for concurrent use.
type Quarantine struct {
	opts           Options
	retention      time.Duration
	writeRequested chan struct{}

	mu      sync.Mutex
	ledger  Ledger
	pending map[string]bool
	// missing holds the keys of records, except this entry's exits, that a restored store lacks and no entry has rewritten yet.
	missing  map[string]bool
	onChange func(added bool)
}

// New returns an empty Quarantine.
func New(opts Options) *Quarantine {
	if opts.Log == nil {
		opts.Log = log.Log
	}
	opts.Wait = cmp.Or(opts.Wait, discovery.DefaultPollTimeout)
	return &Quarantine{
		opts: opts, retention: Retention + rand.N(retentionJitter), writeRequested: make(chan struct{}, 1), pending: make(map[string]bool),
		missing: make(map[string]bool),
	}
}

// OnChange sets a function that is called after each change of the records; added says that another request was quarantined.
func (q *Quarantine) OnChange(call func(added bool)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.onChange = call
}

// Merge merges records relayed by a peer entry. It removes no record that the peer lacks: the peer may have started after the
// store was restored from a backup.
func (q *Quarantine) Merge(records Records) { q.merge(records, false) }

// Changes returns the records that changed since the versions in sent, by record key, and updates sent.
func (q *Quarantine) Changes(sent map[string]int) Records {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Changes(sent)
}

// RecordExit records that a server incarnation has exited with requests of this entry in flight.
func (q *Quarantine) RecordExit(incarnation string, requests []Fingerprint) {
	q.mu.Lock()
	exit := q.ledger.Exit(incarnation, q.opts.Entry)
	exit.Requests = slices.Clone(exit.Requests)
	for _, request := range requests {
		if !slices.Contains(exit.Requests, request) {
			exit.Requests = append(exit.Requests, request)
		}
	}
	exit.Requests = exit.Requests[:min(len(exit.Requests), maxRequestsPerExit)]
	q.pending[exit.Key()] = true
	added := q.ledger.Merge(Records{Exits: []Exit{exit}}, clock.Now())
	q.mu.Unlock()
	q.requestWrite()
	q.notify(added)
}

// RecordResponse records that a server has responded to a request, which clears all its known exits.
func (q *Quarantine) RecordResponse(request Fingerprint) {
	q.mu.Lock()
	incarnations := q.ledger.Incarnations(request)
	if len(incarnations) == 0 {
		q.mu.Unlock()
		return
	}
	response := q.ledger.Response(request)
	response.Incarnations = append(slices.Clone(response.Incarnations), incarnations...)
	if len(incarnations) >= minSharedExits {
		q.pending[response.Key()] = true
	}
	added := q.ledger.Merge(Records{Responses: []Response{response}}, clock.Now())
	q.mu.Unlock()
	q.requestWrite()
	q.notify(added)
}

// Held reports whether a request is quarantined. It computes the fingerprint only if any request is.
func (q *Quarantine) Held(request func() Fingerprint) bool {
	q.mu.Lock()
	anyQuarantined := q.ledger.AnyQuarantined()
	q.mu.Unlock()
	if !anyQuarantined {
		return false
	}
	f := request()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.IsQuarantined(f)
}

// Empty reports whether no server is known to have exited with a request in flight.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Empty()
}

// merge merges stored records into the ledger; complete says that they are all records. Pending records of this entry are
// newer and take precedence.
func (q *Quarantine) merge(records Records, complete bool) {
	q.mu.Lock()
	for _, exit := range records.Exits {
		delete(q.missing, exit.Key())
	}
	for _, response := range records.Responses {
		delete(q.missing, response.Key())
	}
	own := q.pendingRecords()
	records.Exits = append(slices.Clone(records.Exits), own.Exits...)
	records.Responses = append(slices.Clone(records.Responses), own.Responses...)
	apply := q.ledger.Merge
	if complete {
		apply = q.ledger.Replace
	}
	added := apply(records, clock.Now())
	q.mu.Unlock()
	q.notify(added)
}

// notify updates the metric, logs an added request and calls the change callback.
func (q *Quarantine) notify(added bool) {
	q.mu.Lock()
	call, count := q.onChange, len(q.ledger.quarantined)
	q.mu.Unlock()
	requestsQuarantined.Set(float64(count))
	if added {
		q.opts.Log.WithField("held", count).Warn("quarantine: requests under which servers end are held")
	}
	if call != nil {
		call(added)
	}
}

// pendingRecords returns the records yet to be stored; mu is held.
func (q *Quarantine) pendingRecords() Records {
	var records Records
	for key := range q.pending {
		if exit, ok := q.ledger.exits[key]; ok {
			records.Exits = append(records.Exits, exit)
		}
		if response, ok := q.ledger.responses[key]; ok {
			records.Responses = append(records.Responses, response)
		}
	}
	return records
}

func (q *Quarantine) requestWrite() {
	select {
	case q.writeRequested <- struct{}{}:
	default:
	}
}
