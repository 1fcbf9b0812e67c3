package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

// pushback is the kind of pushback signal that servers send in response headers.
type pushback string

const (
	noPushback pushback = ""
	// pushbackLimits sends rate limits in requests per second, changed once.
	pushbackLimits pushback = "limits"
	// pushbackLeaving announces that a server leaves while its list entry still says ready.
	pushbackLeaving pushback = "leaving"
	// pushbackPauses refuses requests and asks for a pause.
	pushbackPauses pushback = "rests"
)

const (
	// In each limitWindow a server may get limitFactor times its limit plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// reactionTime is how long an entry may take to act on a signal.
	reactionTime = 500 * time.Millisecond
	// pauseSlack is how many requests an entry may still send to a paused server.
	pauseSlack = 2
	// pauseTime is the pause that servers ask for.
	pauseTime = 2 * time.Second
	// minPushbackServedShare is the least fraction of requests served while servers send signals.
	minPushbackServedShare = 0.9
	// pushbackServerDivisor divides the number of a service's servers to get how many send signals.
	pushbackServerDivisor = 3
)

// limitValues are the rate limits to choose from, in requests per second.
var limitValues = []float64{0, 0.2, 1, 1.6, 4}

// pushbackPlan makes servers send signals at overlapping times, while one entry is killed and one is stopped.
func (r *rig) pushbackPlan() []fault {
	rng := rand.New(rand.NewPCG(r.opts.Seed, 9))
	half := r.opts.FaultPeriod / 2
	var plan []fault
	for _, servers := range [][]*standin.Server{r.engines, r.plain} {
		for _, i := range rng.Perm(len(servers))[:len(servers)/pushbackServerDivisor] {
			f := r.pushbackFault(servers[i], rng)
			f.at, f.duration = time.Duration(rng.Int64N(int64(half))), half
			plan = append(plan, f)
		}
	}
	killed, stopped := r.entries[0], r.entries[1]
	return append(plan,
		fault{name: "kill " + killed.name, at: half, duration: settleTime, do: killed.kill, undo: func() { _ = killed.start() }},
		fault{
			name: "stop " + stopped.name, planned: true, at: half + bounds.Contact, duration: settleTime,
			do: func() { stopped.stop(bounds.Grace) }, undo: func() { _ = stopped.start() },
		},
	)
}

// pushbackFault makes a server send signals; a server that leaves is restarted afterwards.
func (r *rig) pushbackFault(s *standin.Server, rng *rand.Rand) fault {
	f := fault{undo: func() { s.SetPushback(standin.Pushback{}) }}
	switch r.opts.pushback {
	case pushbackLimits:
		first, then := limitValues[rng.IntN(len(limitValues))], limitValues[rng.IntN(len(limitValues))]
		f.name = fmt.Sprintf("limits %v and %v of %s", first, then, s.Address)
		f.do = func() {
			s.SetPushback(standin.Pushback{Limited: true, Limit: first})
			time.AfterFunc(r.opts.FaultPeriod/4, func() { s.SetPushback(standin.Pushback{Limited: true, Limit: then}) })
		}
	case pushbackLeaving:
		f.name = "leaving " + s.Address
		f.do = func() { s.SetPushback(standin.Pushback{Leaving: true}) }
		f.undo = func() { r.restart(s, false) }
	default:
		f.name = "pause requests to " + s.Address
		f.do = func() { s.SetPushback(standin.Pushback{Pause: pauseTime}) }
	}
	return f
}

// receiver is an entry incarnation that received a signal of a server.
type receiver struct {
	entry, incarnation int
	server             string
}

// receiverOf returns the entry incarnation that sent a request to a server; ok is false if its caller has no outcome.
func (c *checker) receiverOf(id, server string) (by receiver, ok bool) {
	o, ok := c.outcomeByID[id]
	return receiver{entry: o.entry, incarnation: o.incarnation, server: server}, ok
}

// checkPushback checks that entries obey the signals and that callers are served by other servers.
func (c *checker) checkPushback() {
	switch c.rig.opts.pushback {
	case pushbackLimits:
		c.checkLimits()
	case pushbackLeaving:
		c.checkLeaving()
	default:
		c.checkPauses()
	}
	requests, served := 0, 0
	for _, o := range c.outcomes {
		if o.kind == kindProbe || o.abandoned || o.request.Key != goodKey || o.response.Err != nil {
			continue
		}
		requests++
		if o.response.Complete() {
			served++
		}
	}
	if requests < minRequests || float64(served) < minPushbackServedShare*float64(requests) {
		c.reportf("pushback: of %d requests %d were served", requests, served)
	}
}

// checkLimits checks the request rate of each limited server, counting only entries that have received a limit.
func (c *checker) checkLimits() {
	signalsBy := make(map[string][]standin.PushbackRecord)
	allowed, sent := 0.0, 0.0
	for _, s := range c.pushbacks {
		signalsBy[s.Server] = append(signalsBy[s.Server], s)
	}
	for server, signals := range signalsBy {
		reactBy := make(map[receiver]time.Time)
		var from, to time.Time
		for _, s := range signals {
			if !s.Limited {
				continue
			}
			if from.IsZero() {
				from = s.At
			}
			to = s.At
			if by, ok := c.receiverOf(s.ID, server); ok && reactBy[by].IsZero() {
				reactBy[by] = s.At.Add(reactionTime)
			}
		}
		var arrived []time.Time
		for _, a := range c.arrivals {
			by, ok := c.receiverOf(a.ID, server)
			if at := reactBy[by]; ok && a.Server == server && !at.IsZero() && a.At.After(at) && !a.At.After(to) {
				arrived = append(arrived, a.At)
			}
		}
		c.checkLimit(server, arrived, signals)
		allowed += allowedRequests(signals)
		sent += float64(len(arrived))
	}
	if allowed > 0 {
		c.limitUse = sent / allowed
	}
}

// allowedRequests returns how many requests the announced limits allow, each until the next response.
func allowedRequests(signals []standin.PushbackRecord) float64 {
	n := 0.0
	for i, s := range signals[:len(signals)-1] {
		if s.Limited {
			n += s.Limit * signals[i+1].At.Sub(s.At).Seconds()
		}
	}
	return n
}

// checkLimit checks each window against the highest limit announced around it.
func (c *checker) checkLimit(server string, arrived []time.Time, signals []standin.PushbackRecord) {
	for i, from := range arrived {
		until := from.Add(limitWindow)
		n := 0
		for _, at := range arrived[i:] {
			if at.Before(until) {
				n++
			}
		}
		highest := 0.0
		for _, s := range signals {
			if s.Limited && s.At.After(from.Add(-limitWindow)) && s.At.Before(until) {
				highest = max(highest, s.Limit)
			}
		}
		if allowed := limitFactor*highest*limitWindow.Seconds() + limitSlack; float64(n) > allowed {
			c.reportf("limit: %s, with a limit of %v per second, got %d requests in %s from entries that had received the limit; allowed %.0f",
				server, highest, n, limitWindow, allowed)
			return
		}
	}
}

// checkLeaving checks that an entry sends no new requests to a server once bounds.Drain has passed since its announced leave.
func (c *checker) checkLeaving() {
	reactBy := make(map[receiver]time.Time)
	for _, s := range c.pushbacks {
		if by, ok := c.receiverOf(s.ID, s.Server); ok && s.Leaving && reactBy[by].IsZero() {
			reactBy[by] = s.At.Add(bounds.Drain)
		}
	}
	for _, a := range c.arrivals {
		by, ok := c.receiverOf(a.ID, a.Server)
		if at := reactBy[by]; ok && !at.IsZero() && c.outcomeByID[a.ID].sent.After(at) {
			c.reportf("leaving: %s reached %s from entry %d %s after the server had announced its leave to that entry",
				a.ID, a.Server, by.entry+1, a.At.Sub(at.Add(-bounds.Drain)))
		}
	}
}

// checkPauses checks that an entry sends hardly any requests to a server during a pause that it asked for.
func (c *checker) checkPauses() {
	for _, s := range c.pushbacks {
		by, ok := c.receiverOf(s.ID, s.Server)
		if !ok || s.Pause == 0 {
			continue
		}
		n := 0
		for _, a := range c.arrivals {
			sender, known := c.receiverOf(a.ID, a.Server)
			if known && sender == by && a.At.After(s.At.Add(reactionTime)) && a.At.Before(s.At.Add(s.Pause)) {
				n++
			}
		}
		if n > pauseSlack {
			c.reportf("pause: %s asked entry %d for a pause of %s and got %d requests from it in that time", s.Server, by.entry+1, s.Pause, n)
		}
	}
	c.violations = slices.CompactFunc(c.violations, func(a, b string) bool { return a == b })
}
