package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
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
	// maxPromptsPerExit bounds the prompts in one exit record.
	maxPromptsPerExit = 32
	// minSharedExits is how many exits responses have to clear to be shared with other entries.
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
	missing map[string]bool
	// unshared counts the exits that responses cleared of a prompt part and that other entries have not been told of.
	unshared map[Fingerprint]int
	// triedAt is when this entry last tried a quarantined part.
	triedAt  map[Fingerprint]time.Time
	onChange func(added bool)
	// empty mirrors ledger.Empty, which is asked for each response.
	empty atomic.Bool
}

// New returns an empty Quarantine.
func New(opts Options) *Quarantine {
	if opts.Log == nil {
		opts.Log = log.Log
	}
	opts.Wait = cmp.Or(opts.Wait, discovery.DefaultPollTimeout)
	q := &Quarantine{
		opts: opts, retention: Retention + rand.N(retentionJitter), writeRequested: make(chan struct{}, 1), pending: make(map[string]bool),
		missing: make(map[string]bool), unshared: make(map[Fingerprint]int), triedAt: make(map[Fingerprint]time.Time),
	}
	q.empty.Store(true)
	return q
}

// OnChange sets a function that is called after each change of the records; added says that more requests are quarantined.
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

// RecordExit records that a server incarnation has exited with requests of this entry in flight. prompts are those of requests to which it
// had at most begun to respond.
func (q *Quarantine) RecordExit(incarnation string, requests []Fingerprint, prompts ...Prompt) {
	q.mu.Lock()
	exit := q.ledger.Exit(incarnation, q.opts.Entry)
	exit.At = cmp.Or(exit.At, time.Now().UnixMilli())
	equal := func(a, b Fingerprint) bool { return a == b }
	exit.Requests = appendNew(exit.Requests, requests, equal, maxRequestsPerExit)
	exit.Prompts = appendNew(exit.Prompts, prompts, Prompt.equal, maxPromptsPerExit)
	q.pending[exit.Key()] = true
	added := q.mergeLocked(Records{Exits: []Exit{exit}})
	q.mu.Unlock()
	q.requestWrite()
	q.notify(added)
}

// appendNew returns a copy of all with those of more that it lacks, up to a length.
func appendNew[T any](all, more []T, equal func(a, b T) bool, length int) []T {
	all = slices.Clone(all)
	for _, one := range more {
		if len(all) < length && !slices.ContainsFunc(all, func(other T) bool { return equal(one, other) }) {
			all = append(all, one)
		}
	}
	return all
}

// RecordResponse records that a server has responded to a request, which clears all its known exits.
func (q *Quarantine) RecordResponse(request Fingerprint) {
	q.mu.Lock()
	incarnations := q.ledger.Incarnations(request)
	added := q.clear(request, incarnations, len(incarnations) >= minSharedExits)
	q.mu.Unlock()
	q.requestWrite()
	q.notify(added)
}

// RecordAnswer records that a server has responded to a prompt with these parts and lives on, which clears their exits known by the time at
// which the response began.
func (q *Quarantine) RecordAnswer(parts []Fingerprint, began time.Time) {
	q.mu.Lock()
	cleared, added := false, false
	for _, part := range parts {
		incarnations := q.ledger.IncarnationsBefore(part, began)
		if len(incarnations) == 0 {
			continue
		}
		q.unshared[part] += len(incarnations)
		share := q.unshared[part] >= minSharedExits || q.ledger.isSuspect(part)
		if share {
			delete(q.unshared, part)
		}
		added = q.clear(part, incarnations, share) || added
		cleared = true
	}
	q.mu.Unlock()
	if cleared {
		q.requestWrite()
		q.notify(added)
	}
}

// clear clears exits of a request or prompt part, and reports whether more is quarantined now; mu is held.
func (q *Quarantine) clear(suspect Fingerprint, incarnations []string, share bool) (added bool) {
	if len(incarnations) == 0 {
		return false
	}
	response := q.ledger.Response(suspect)
	response.Incarnations = append(slices.Clone(response.Incarnations), incarnations...)
	if share {
		q.pending[response.Key()] = true
	}
	return q.mergeLocked(Records{Responses: []Response{response}})
}

// mergeLocked merges records into the ledger; mu is held.
func (q *Quarantine) mergeLocked(records Records) (added bool) {
	added = q.ledger.Merge(records, clock.Now())
	q.empty.Store(q.ledger.Empty())
	return added
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

// HeldPrompt reports whether a prompt is quarantined for its parts. It computes their fingerprints only if any prompt is.
func (q *Quarantine) HeldPrompt(parts func() []Fingerprint) bool {
	q.mu.Lock()
	anyQuarantined := q.ledger.AnyPromptQuarantined()
	q.mu.Unlock()
	if !anyQuarantined {
		return false
	}
	fingerprints := parts()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.IsPromptQuarantined(fingerprints)
}

// Empty reports whether no server is known to have exited with a request in flight.
func (q *Quarantine) Empty() bool { return q.empty.Load() }

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
	q.empty.Store(q.ledger.Empty())
	q.mu.Unlock()
	q.notify(added)
}

// notify updates the metrics, logs what was added and calls the change callback.
func (q *Quarantine) notify(added bool) {
	q.mu.Lock()
	call, requests, parts := q.onChange, len(q.ledger.quarantined), q.ledger.suspects
	q.mu.Unlock()
	requestsQuarantined.Set(float64(requests))
	partsSuspected.Set(float64(len(parts)))
	if added {
		names := make([]string, len(parts))
		for i, suspect := range parts {
			names[i] = suspect.part.String()
		}
		q.opts.Log.WithField("held", requests).WithField("parts", names).Warn("quarantine: requests under which servers end are held")
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
