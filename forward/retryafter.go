package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

const (
	// Retry-After is at least minRetryAfter plus up to retryAfterSpread at random; loadingRetryAfter is added where
	// no server takes requests, plainRetryAfter applies without a prediction.
	minRetryAfter     = 400 * time.Millisecond
	retryAfterSpread  = 900 * time.Millisecond
	loadingRetryAfter = 600 * time.Millisecond
	plainRetryAfter   = 300 * time.Millisecond
	// Callers are told to retry once 1/readyDivisor of a service's loading servers are predicted to be ready.
	readyDivisor = 4
)

// preferredFor returns the servers of a service in the entry's subset that may get a request with these homes.
func (e *Entry) preferredFor(service string, homes contract.Homes) []*upstream {
	ups := e.upstreams.preferred(service)
	may := make([]*upstream, 0, len(ups))
	for _, up := range ups {
		if _, ok := e.mayServe(homes, up.site()); ok {
			may = append(may, up)
		}
	}
	return may
}

// shortestWait returns the shortest predicted wait at a service's servers that may get a request with these homes, including the wait
// for their limits; ok is false when none takes requests.
func (e *Entry) shortestWait(service *contract.Service, homes contract.Homes, now time.Time) (wait time.Duration, ok bool) {
	entries := e.limitSharers()
	for _, up := range e.preferredFor(service.Name, homes) {
		up.mu.Lock()
		if up.version("", now) != 0 && !up.isLeaving() && !up.closing(now) {
			total := up.availableIn(entries, now) + engine.TimeToFirstEvent(service.Engine, up.load(service.Engine, now), service.Engine.UsualPrompt)
			if !ok || total < wait {
				wait, ok = total, true
			}
		}
		up.mu.Unlock()
	}
	return wait, ok
}

// retryAfter predicts when a request will be served in time: once the queue at the best server has shrunk, or the
// servers that are loading are ready. A random spread keeps callers from returning all at once.
func (e *Entry) retryAfter(service *contract.Service, route *contract.Route, homes contract.Homes, now time.Time) time.Duration {
	if service.Engine == nil {
		return e.plainRetryAfter(service.Name, homes, now)
	}
	after, known := e.readyIn(service.Name, homes, now)
	if wait, ok := e.shortestWait(service, homes, now); ok {
		after = max(wait-route.Goal, 0)
	} else if !known {
		after = loadingRetryAfter
	}
	return after + minRetryAfter + rand.N(retryAfterSpread)
}

// plainRetryAfter is retryAfter for a service without an engine.
func (e *Entry) plainRetryAfter(service string, homes contract.Homes, now time.Time) time.Duration {
	if in := e.availableIn(service, homes, nil, now); in > 0 {
		return max(in, plainRetryAfter) + rand.N(retryAfterSpread)
	}
	return plainRetryAfter
}

// readyIn returns the time until enough servers of a service are predicted to run their target version, by their
// boxes' reports; known is false without any.
func (e *Entry) readyIn(service string, homes contract.Homes, now time.Time) (in time.Duration, known bool) {
	var times []time.Duration
	for _, up := range e.preferredFor(service, homes) {
		up.mu.Lock()
		if age := now.Sub(up.reportAt); age < reportTTL && up.report.ReadyIn > 0 {
			times = append(times, max(up.report.ReadyIn-age, 0))
		}
		up.mu.Unlock()
	}
	if len(times) == 0 {
		return 0, false
	}
	slices.Sort(times)
	return times[len(times)/readyDivisor], true
}
