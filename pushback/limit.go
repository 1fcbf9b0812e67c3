package pushback

import (
	"math"
	"time"
)

const (
	// usableFraction is the fraction of a limit that callers use: they learn of changes in their number late, and their sends
	// may coincide.
	usableFraction = 0.75
	// minTotalRate is the rate, in requests per second over all callers, that is sent under any limit: only a response can lift
	// a limit.
	minTotalRate = 0.1
	// sendWindow is how long after its scheduled time a request may still be sent. Unused sends are not saved up, so that
	// callers do not send a burst after a pause.
	sendWindow = time.Second
	// maxInterval is the longest interval, and the delay of a caller without a share.
	maxInterval = time.Hour
)

// Receipt describes how one caller received a signal.
type Receipt struct {
	// Sent is when the request was sent whose response holds the signal, Received when that response arrived.
	Sent, Received time.Time
	// Share is this caller's fraction of the server's limit, 0 to 1.
	Share float64
	// Phase is the position of the first send in the first interval, 0 to 1; callers choose it at random.
	Phase float64
}

// Limit paces one caller's requests to a server that limits the total rate of all its callers. Each caller sends its share
// at even intervals with a random phase, without coordination. The zero Limit allows everything.
type Limit struct {
	active bool
	rate   float64
	// receivedAt is when the signal in force was received, nextSend when the next request may be sent.
	receivedAt time.Time
	nextSend   time.Time
}

// With returns the limit after a signal. A signal that allows more applies only if its request was sent after the signal in
// force was received: responses may arrive out of order.
func (l Limit) With(signal Signal, receipt Receipt) Limit {
	if l.active && (!signal.Limited || signal.Limit > l.rate) && receipt.Sent.Before(l.receivedAt) {
		return l
	}
	if !signal.Limited {
		return Limit{}
	}
	every := interval(signal.Limit, receipt.Share)
	wait := time.Duration(receipt.Phase * float64(every))
	if old := interval(l.rate, receipt.Share); l.active && old > 0 {
		// Keep the caller's position between two sends.
		wait = time.Duration(float64(every) * min(1, max(0, l.nextSend.Sub(receipt.Received).Seconds()/old.Seconds())))
	}
	return Limit{active: true, rate: signal.Limit, receivedAt: receipt.Received, nextSend: receipt.Received.Add(wait)}
}

// Active reports whether the limit restricts anything.
func (l Limit) Active() bool { return l.active }

// Wait returns the delay until a request may be sent, 0 if it may be sent now.
func (l Limit) Wait(now time.Time, share float64) time.Duration {
	if !l.active {
		return 0
	}
	every, since := interval(l.rate, share), now.Sub(l.nextSend)
	switch {
	case share <= 0:
		return maxInterval
	case since < 0:
		return -since
	case every > 0 && since%every > sendWindow:
		return every - since%every
	default:
		return 0
	}
}

// WithSent returns the limit after a request was sent.
func (l Limit) WithSent(now time.Time, share float64) Limit {
	if !l.active {
		return l
	}
	every := interval(l.rate, share)
	if since := now.Sub(l.nextSend); since > 0 && every > 0 {
		l.nextSend = now.Add(-(since % every))
	}
	l.nextSend = l.nextSend.Add(every)
	return l
}

// interval returns the time between two requests of a caller that has a share of a rate limit.
func interval(rate, share float64) time.Duration {
	seconds := 1 / (max(usableFraction*rate, minTotalRate) * share)
	if math.IsNaN(seconds) || seconds < 0 || seconds > maxInterval.Seconds() {
		return maxInterval
	}
	return time.Duration(seconds * float64(time.Second))
}
