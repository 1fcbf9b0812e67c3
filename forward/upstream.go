package forward

import (
	"slices"
	"sync"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/engine"
	"github.com/coralstair/coralstair/link"
	"github.com/coralstair/coralstair/pushback"
)

const (
	// reportTTL is how long a report is taken as the current state of a server.
	reportTTL = 1500 * time.Millisecond
	// usualReportAge is the usual upper bound on the age of a server's latest report.
	usualReportAge = 600 * time.Millisecond
	// lagWeight is the weight of a new sample in the moving average of the lag, lagHalfLife the half-life of the
	// average. lagTolerance covers network delay and the error of the prediction.
	lagWeight    = 0.4
	lagTolerance = 40 * time.Millisecond
	lagHalfLife  = 2 * time.Second
	// A server whose oldest first event is overdue by more than overdueTolerance is stalled; the excess is added to its
	// cost overdueFactor times.
	overdueTolerance = 200 * time.Millisecond
	overdueFactor    = 4
	// minEjection and maxEjection bound the length of an ejection, which doubles with each further failure.
	minEjection = 500 * time.Millisecond
	maxEjection = 4 * time.Second
	// failuresToEject is the number of consecutive failures that eject a server.
	failuresToEject = 2
)

// upstream is the state of one server as known to this entry.
type upstream struct {
	mu     sync.Mutex
	server contract.Server
	// pool holds the idle connections to the server.
	pool connPool
	// born is the start time of the server's incarnation, as last reported by its box or the list; listedBorn is the
	// list's value, which may lag. Both are 0 while unknown.
	born       int64
	listedBorn int64
	// weight is the number of entries that this one represents at the server; 0 if the server is outside its subset.
	weight float64
	// missing is set while the server is not listed, perhaps only because its list entry has expired; it gets no
	// requests after unusableAt.
	missing    bool
	unusableAt time.Time

	// inFlight counts this entry's requests at the server, reading those without a first event, and unread the prompt
	// tokens of the latter.
	inFlight int
	reading  int
	unread   int
	// All requests in flight, and those without a first event with the oldest first.
	inFlightRequests map[*inFlightRequest]bool
	pending          []*inFlightRequest
	// lags are the lags of requests by rank.
	lags [lagRanks]lagAverage

	report   link.Report
	reportAt time.Time
	rtt      rttWindow
	// othersWriting and othersReading count the decoding and prefilling requests of other entries in the latest report.
	othersWriting int
	othersReading int

	failures int
	// ejection is the length of the latest ejection, which ends at ejectedUntil.
	ejection     time.Duration
	ejectedUntil time.Time
	// misdirectedAt is when the server last answered 421; zero once the list or its box reports a change.
	misdirectedAt time.Time

	// lastPushback is the server's latest pushback signal, limit the limit set by such signals. announcedLeave is set
	// once a response or report announces a leave; nothing is sent before pausedUntil.
	lastPushback   pushback.Signal
	limit          pushback.Limit
	announcedLeave bool
	pausedUntil    time.Time
	// The server is cold until coldUntil; from then on cold, its limit of coldRate requests a second, does not apply.
	coldUntil time.Time
	coldRate  float64
	cold      pushback.Limit

	// lostRequests are the requests whose connections broke recently; exitChecked is closed when the running exit check
	// ends, nil if none runs. exitedAt is when an exit was detected, exitLog what its log line names.
	lostRequests []lostRequest
	exitChecked  chan struct{}
	exitedAt     time.Time
	exitLog      exitSuspects
}

// inFlightRequest is one request at a server, from sending to completion.
type inFlightRequest struct {
	up            *upstream
	prompt        int
	rank          int
	sent          time.Time
	predicted     time.Duration
	gotFirstEvent bool
	firstEventAt  time.Time
	done          bool
	// moveAway continues the request at another server while this one still works on it, nil if not allowed; abort
	// cancels it here.
	moveAway func()
	abort    func(cause error)
	// connected is when the connection of the request was opened; zero before the request has one.
	connected time.Time
}

// tryAcquire counts a request about to be sent, with the predicted time to its first event. It returns nil if other
// requests have used up the server's limit since the server was chosen.
func (u *upstream) tryAcquire(prompt int, predicted time.Duration, entries int, now time.Time) *inFlightRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.availableIn(entries, now) > 0 {
		return nil
	}
	u.limit = u.limit.WithSent(now, u.limitShare(entries))
	u.cold = u.cold.WithSent(now, u.limitShare(entries))
	u.inFlight++
	u.reading++
	u.unread += prompt
	r := &inFlightRequest{up: u, prompt: prompt, sent: now, predicted: predicted}
	u.pending = append(u.pending, r)
	if u.inFlightRequests == nil {
		u.inFlightRequests = make(map[*inFlightRequest]bool)
	}
	u.inFlightRequests[r] = true
	return r
}

func (r *inFlightRequest) recordFirstEvent(now time.Time) {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	if !r.gotFirstEvent {
		r.firstEventAt = now
		r.up.lags[r.rank].observe(now.Sub(r.sent)-r.predicted, now)
	}
	r.recordFirstEventLocked()
}

// firstEventTime returns when the first event arrived; zero before.
func (r *inFlightRequest) firstEventTime() time.Time {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	return r.firstEventAt
}

// answering returns how long ago the first event arrived; 0 before.
func (r *inFlightRequest) answering(now time.Time) time.Duration {
	first := r.firstEventTime()
	if first.IsZero() {
		return 0
	}
	return now.Sub(first)
}

// recordFirstEventLocked is recordFirstEvent with the server's mutex held.
func (r *inFlightRequest) recordFirstEventLocked() {
	if r.gotFirstEvent {
		return
	}
	r.gotFirstEvent = true
	r.up.reading--
	r.up.unread -= r.prompt
	r.up.pending = slices.DeleteFunc(r.up.pending, func(other *inFlightRequest) bool { return other == r })
}

// release ends the accounting of the request; only the first call has an effect.
func (r *inFlightRequest) release() {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	if r.done {
		return
	}
	r.done = true
	delete(r.up.inFlightRequests, r)
	r.recordFirstEventLocked()
	r.up.inFlight--
}

// applyReport applies a box's report; entries is the number of entries that share a limit in it. Own requests are
// subtracted, which leaves those of other entries.
func (u *upstream) applyReport(report link.Report, entries int, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if report.Closing && !u.report.Closing {
		time.AfterFunc(moveDelay, u.moveRequests)
	}
	if report.Version != u.report.Version {
		u.misdirectedAt = time.Time{}
	}
	u.applyReportedPushback(report, entries, now)
	u.extendCold(now.Add(report.ColdLeft))
	u.report, u.reportAt = report, now
	u.othersReading = max(0, report.Waiting-u.reading)
	u.othersWriting = max(0, report.Running-(u.inFlight-u.reading))
}

// applyListing applies the server's entry in the list.
func (u *upstream) applyListing(server discovery.ListedServer, weight float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.weight = weight
	if contract.DifferentIncarnations(server.Born, u.born) {
		// The list lags: its loaded versions are those of the previous incarnation.
		server.Loaded = nil
	}
	if !u.server.Equal(server.Server) {
		u.misdirectedAt = time.Time{}
	}
	if u.pool.address != server.Address {
		u.pool = newConnPool(server.Address)
	}
	u.server, u.missing, u.unusableAt = server.Server, !server.MissingSince.IsZero(), server.GoneAt
	u.listedBorn = server.Born
	if u.born == 0 {
		u.born = server.Born
	}
}

// load estimates the current load of the server; mu is held.
func (u *upstream) load(e *contract.Engine, now time.Time) engine.Load {
	load := engine.Load{Decoding: u.inFlight - u.reading, Prefilling: u.reading, PrefillTokens: u.unread}
	if now.Sub(u.reportAt) < reportTTL {
		load.Decoding += u.othersWriting
		load.Prefilling += u.othersReading
		load.PrefillTokens += u.othersReading * e.UsualPrompt
		load.Slowdown = u.report.Slowdown
	}
	return load
}

// version returns the version of a model that the server presumably runs; mu is held.
func (u *upstream) version(model string, now time.Time) contract.Version {
	if now.Sub(u.reportAt) < reportTTL && u.report.Server == u.server.ID && (model == "" || u.report.Model == model) {
		return contract.Version(u.report.Version)
	}
	return u.server.LoadedVersion(model)
}

// closing reports whether the server's box has announced that it takes no new requests; mu is held.
func (u *upstream) closing(now time.Time) bool {
	return u.report.Closing && now.Sub(u.reportAt) < reportTTL
}

// filled reports whether the server's box holds all pieces of the target version; mu is held.
func (u *upstream) filled(now time.Time) bool {
	return u.report.HasAllPieces && now.Sub(u.reportAt) < reportTTL
}

// reportDelay returns by how much reports are overdue. It is added to the server's cost, since the link may be
// congested. mu is held.
func (u *upstream) reportDelay(now time.Time) time.Duration {
	if u.reportAt.IsZero() {
		return 0
	}
	return max(now.Sub(u.reportAt)-usualReportAge, 0)
}

// closesIn returns the time until the server takes no new requests, unknownTurn if its box has not reported it; mu is
// held.
func (u *upstream) closesIn(now time.Time) time.Duration {
	if u.report.ClosesIn == 0 || now.Sub(u.reportAt) > reportTTL {
		return unknownTurn
	}
	return u.report.ClosesIn - now.Sub(u.reportAt)
}

// recordFailure counts a failure and returns the length of the ejection that it causes, 0 for none.
func (u *upstream) recordFailure(now time.Time) time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures++
	if u.failures < failuresToEject {
		return 0
	}
	u.ejection = min(max(2*u.ejection, minEjection), maxEjection)
	u.ejectedUntil = now.Add(u.ejection)
	return u.ejection
}

// recordTimeout ejects a server that sent nothing for too long, and returns the length of the ejection.
func (u *upstream) recordTimeout(now time.Time) time.Duration {
	u.mu.Lock()
	u.failures = max(u.failures, failuresToEject)
	u.observeLag(minSilence, now)
	u.mu.Unlock()
	return u.recordFailure(now)
}

// recordUnreachable ejects a server to which no connection could be opened.
func (u *upstream) recordUnreachable(now time.Time) {
	u.mu.Lock()
	u.failures = max(u.failures, failuresToEject)
	u.mu.Unlock()
	u.recordFailure(now)
}

// recordMisdirected records that the server rejected a request which the list says it can run.
func (u *upstream) recordMisdirected(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.misdirectedAt = now
}

// recordSuccess resets the failure count and ends an ejection.
func (u *upstream) recordSuccess() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.failures, u.ejection, u.ejectedUntil = 0, 0, time.Time{}
}
