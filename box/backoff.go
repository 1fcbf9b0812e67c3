package box

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxRetryAfter caps the Retry-After of an upstream.
const maxRetryAfter = time.Hour

// backoff is the time until which the upstream gets no requests; a zero backoff is not active.
type backoff struct {
	mu    sync.Mutex
	until time.Time
}

func (b *backoff) active(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.until)
}

// extend prolongs the backoff; it never shortens it.
func (b *backoff) extend(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.until) {
		b.until = until
	}
}

// retryAfter returns the Retry-After of a 503 response; 0 if there is none.
func retryAfter(resp *http.Response, now time.Time) time.Duration {
	after := resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusServiceUnavailable || after == "" {
		return 0
	}
	if seconds, err := strconv.ParseFloat(after, 64); err == nil && seconds >= 0 {
		return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(after)
	if err != nil {
		return 0
	}
	return min(max(at.Sub(now), 0), maxRetryAfter)
}

// applyRetryAfter makes entries send no requests during the upstream's Retry-After, since each would be refused.
func (b *Box) applyRetryAfter(resp *http.Response) {
	now := time.Now()
	d := retryAfter(resp, now)
	if d <= 0 {
		return
	}
	b.log.WithField("for_ms", d.Milliseconds()).Info("box: the upstream wants to rest")
	b.backoff.extend(now.Add(d))
	b.notifySessions()
	time.AfterFunc(d, b.notifySessions)
}
