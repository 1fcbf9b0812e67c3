package forward

import (
	"math/rand/v2"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/pushback"
)

// A cold server bears only some requests a second from all entries together. That is a limit like one that a server announces itself,
// and entries pace themselves to shares of it in the same way.

const (
	// bornTolerance covers the difference between the clocks of a server and of this machine.
	bornTolerance = 2 * time.Second
	// returnTolerance is how long after an evacuation its servers' list entries may still be from before the servers turned cold.
	returnTolerance = 2 * time.Second
)

// coldStart says for how long a service's servers are cold after a start, and how many requests a second they bear meanwhile.
type coldStart struct {
	time time.Duration
	rate float64
}

// coldStartOf returns the cold start of a service's servers; zero if they are never cold.
func coldStartOf(cfg *contract.Config, service string) coldStart {
	if cfg == nil {
		return coldStart{}
	}
	s := cfg.Service(service)
	if s == nil || s.ColdRate <= 0 {
		return coldStart{}
	}
	return coldStart{time: s.ColdStart, rate: s.ColdRate}
}

// coldStart returns the cold start of a service's servers, by the newest configuration.
func (e *Entry) coldStart(service string) coldStart { return coldStartOf(e.cfg.View.Config(), service) }

// observeCold applies what the list says of how long a server stays cold; isNew marks a server or incarnation that was not known before,
// returnedAt is when its site's evacuation was taken back. What is not known counts as cold. mu is held.
func (u *upstream) observeCold(start coldStart, isNew bool, returnedAt, now time.Time) {
	u.coldRate = start.rate
	if start.rate <= 0 {
		return
	}
	u.extendCold(now.Add(u.server.ColdLeft))
	if isNew && !u.bornBefore(now.Add(-start.time-bornTolerance)) {
		u.extendCold(now.Add(start.time))
	}
	if !returnedAt.IsZero() {
		u.extendCold(returnedAt.Add(start.time + returnTolerance))
	}
}

// bornBefore reports whether the server is known to have started before a time; mu is held.
func (u *upstream) bornBefore(t time.Time) bool {
	return u.born != 0 && time.UnixMilli(u.born).Before(t)
}

// extendCold makes the server cold until a time at least; mu is held.
func (u *upstream) extendCold(until time.Time) {
	if until.After(u.coldUntil) {
		u.coldUntil = until
	}
}

// currentCold returns the limit that holds while the server is cold, and none otherwise; mu is held.
func (u *upstream) currentCold(entries int, now time.Time) pushback.Limit {
	switch {
	case u.coldRate <= 0 || !now.Before(u.coldUntil):
		u.cold = pushback.Limit{}
	case !u.cold.Active():
		signal := pushback.Signal{Limited: true, Limit: u.coldRate}
		u.cold = u.cold.With(signal, pushback.Receipt{Sent: now, Received: now, Share: u.limitShare(entries), Phase: rand.Float64()})
	}
	return u.cold
}

// recordCold records how much longer a server stays cold by its own answer.
func (u *upstream) recordCold(left time.Duration, now time.Time) {
	if left <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.extendCold(now.Add(left))
}
