package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/clock"
	"github.com/coralstair/coralstair/view"
)

const (
	// KeepTime is how long an end is held against a request: long enough for an operator to see it, short enough for a request to
	// be tried again once its engine has been mended.
	KeepTime = time.Hour
	// keepSpread is how much longer an entry keeps records at most, so that one entry removes them for all.
	keepSpread = 10 * time.Minute
	// mostRequests bounds the requests that are told of one end, by the places of a server; each takes 34 bytes at the store.
	mostRequests = 128
	// answersFrom is how many ends an answer has to explain for other entries to hear of it.
	answersFrom = endsToHold - 1
)

// Options are those of a quarantine; without a store it knows what its own entry tells alone.
type Options struct {
	Entry string
	Store Store
	Log   log.Interface
	// Wait is how long a call for changes waits.
	Wait time.Duration
	// Told reports whether another entry tells what is stored, so that it need not be read; nil where none does.
	Told func() bool
}

// Quarantine tells which requests are held; it is safe for concurrent use.
type Quarantine struct {
	opts  Options
	keep  time.Duration
	woken chan struct{}

	mu      sync.Mutex
	ledger  Ledger
	pending map[string]bool
	// lost holds the keys of records of other entries that a copy of the store lacks and that have not come back yet.
	lost   map[string]bool
	onNews func(held bool)
}

// New returns a quarantine that knows nothing yet.
func New(opts Options) *Quarantine {
	if opts.Log == nil {
		opts.Log = log.Log
	}
	opts.Wait = cmp.Or(opts.Wait, view.DefaultWait)
	return &Quarantine{
		opts: opts, keep: KeepTime + rand.N(keepSpread), woken: make(chan struct{}, 1), pending: make(map[string]bool),
		lost: make(map[string]bool),
	}
}

// OnNews has a function called each time something is learned; held says that another request is held by it.
func (q *Quarantine) OnNews(call func(held bool)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.onNews = call
}

// Take learns what another entry tells of what is stored. Nothing is forgotten because another entry does not know it: it may have
// started after the store came back from a copy.
func (q *Quarantine) Take(records Records) { q.take(records, false) }

// Changes returns the records that have changed since another entry was told, and notes in told that it is.
func (q *Quarantine) Changes(told map[string]int) Records {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Changes(told)
}

// Ended learns that a life of a server has ended with requests of this entry in progress.
func (q *Quarantine) Ended(life string, requests []Fingerprint) {
	q.mu.Lock()
	end := q.ledger.End(life, q.opts.Entry)
	end.Requests = slices.Clone(end.Requests)
	for _, request := range requests {
		if !slices.Contains(end.Requests, request) {
			end.Requests = append(end.Requests, request)
		}
	}
	end.Requests = end.Requests[:min(len(end.Requests), mostRequests)]
	q.pending[end.Key()] = true
	news := q.ledger.Take(Records{Ends: []End{end}}, clock.Now())
	q.mu.Unlock()
	q.wake()
	q.announce(news)
}

// Answered learns that a server has answered a request, which explains all ends that are known of it.
func (q *Quarantine) Answered(request Fingerprint) {
	q.mu.Lock()
	lives := q.ledger.Lives(request)
	if len(lives) == 0 {
		q.mu.Unlock()
		return
	}
	answer := q.ledger.Answer(request)
	answer.Lives = append(slices.Clone(answer.Lives), lives...)
	if len(lives) >= answersFrom {
		q.pending[answer.Key()] = true
	}
	news := q.ledger.Take(Records{Answers: []Answer{answer}}, clock.Now())
	q.mu.Unlock()
	q.wake()
	q.announce(news)
}

// Held reports whether a request, of which the fingerprint is made only when it is needed, is kept from all servers.
func (q *Quarantine) Held(request func() Fingerprint) bool {
	q.mu.Lock()
	some := q.ledger.AnyHeld()
	q.mu.Unlock()
	if !some {
		return false
	}
	f := request()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Held(f)
}

// Empty reports whether no server is known to have ended with a request in progress.
func (q *Quarantine) Empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Empty()
}

// take has the ledger learn what is stored; whole says that these are all records. What this entry has yet to store is newer.
func (q *Quarantine) take(records Records, whole bool) {
	q.mu.Lock()
	for _, end := range records.Ends {
		delete(q.lost, end.Key())
	}
	for _, answer := range records.Answers {
		delete(q.lost, answer.Key())
	}
	own := q.pendingRecords()
	records.Ends = append(slices.Clone(records.Ends), own.Ends...)
	records.Answers = append(slices.Clone(records.Answers), own.Answers...)
	learn := q.ledger.Take
	if whole {
		learn = q.ledger.Reset
	}
	news := learn(records, clock.Now())
	q.mu.Unlock()
	q.announce(news)
}

// announce tells what is held, and of news those who asked for it.
func (q *Quarantine) announce(news bool) {
	q.mu.Lock()
	call, held := q.onNews, len(q.ledger.held)
	q.mu.Unlock()
	requestsHeld.Set(float64(held))
	if news {
		q.opts.Log.WithField("held", held).Warn("quarantine: requests under which servers end are held")
	}
	if call != nil {
		call(news)
	}
}

// pendingRecords returns what is to be stored; mu is held.
func (q *Quarantine) pendingRecords() Records {
	var records Records
	for key := range q.pending {
		if end, ok := q.ledger.ends[key]; ok {
			records.Ends = append(records.Ends, end)
		}
		if answer, ok := q.ledger.answers[key]; ok {
			records.Answers = append(records.Answers, answer)
		}
	}
	return records
}

func (q *Quarantine) wake() {
	select {
	case q.woken <- struct{}{}:
	default:
	}
}
