package discovery

import (
	"context"
	"errors"
	"time"
)

const (
	// hedgeAfter is how long a response to a feed call may be overdue before the call is hedged, fullReadHedgeAfter the same for a full
	// read, whose response is long. Hedging guards against a connection that stalls for good while new ones work.
	// Without it an entry knew of a configuration 12 s late; with it and polls of 1.5 s, after 2.1 s at most.
	hedgeAfter         = 500 * time.Millisecond
	fullReadHedgeAfter = 1200 * time.Millisecond
	// maxCalls bounds the calls for one request, the first included.
	maxCalls = 4
)

// Hedge returns a source that hedges calls whose response is overdue; the first response is used. A full read is hedged only once a short
// call has been answered meanwhile: over a link that is full, all calls are slow, and a second copy of what is long would make it worse.
func Hedge(source Source) Source { return hedgedSource{source} }

type hedgedSource struct{ source Source }

// prober is a source that can be called for a short response.
type prober interface {
	// Probe makes a call whose response is short.
	Probe(ctx context.Context) error
}

// probe reports whether the source answers a short call; true if it has none.
func (s hedgedSource) probe(ctx context.Context) bool {
	source, ok := s.source.(prober)
	return !ok || source.Probe(ctx) == nil
}

// Probe makes a call whose response is short; it fails if the source has none.
func (s hedgedSource) Probe(ctx context.Context) error {
	source, ok := s.source.(prober)
	if !ok {
		return errors.ErrUnsupported
	}
	return source.Probe(ctx)
}

// Declared reads all that is declared.
func (s hedgedSource) Declared(ctx context.Context) (Declared, error) {
	return callHedged(ctx, 0, fullReadHedgeAfter, s.probe, func(ctx context.Context, _ time.Duration) (Declared, error) { return s.source.Declared(ctx) })
}

// DeclaredAfter waits for a change of the declared configuration or targets.
func (s hedgedSource) DeclaredAfter(ctx context.Context, cursor Cursor, wait time.Duration) (Declared, error) {
	return callHedged(ctx, wait, hedgeAfter, nil, func(ctx context.Context, wait time.Duration) (Declared, error) {
		return s.source.DeclaredAfter(ctx, cursor, wait)
	})
}

// SomeServers reads up to limit of the listed servers, or all if the source cannot read a part.
func (s hedgedSource) SomeServers(ctx context.Context, limit int) (Servers, error) {
	partial, ok := s.source.(interface {
		SomeServers(ctx context.Context, limit int) (Servers, error)
	})
	if !ok {
		return s.Servers(ctx)
	}
	return callHedged(ctx, 0, fullReadHedgeAfter, s.probe, func(ctx context.Context, _ time.Duration) (Servers, error) { return partial.SomeServers(ctx, limit) })
}

// Servers reads the full list of servers.
func (s hedgedSource) Servers(ctx context.Context) (Servers, error) {
	return callHedged(ctx, 0, fullReadHedgeAfter, s.probe, func(ctx context.Context, _ time.Duration) (Servers, error) { return s.source.Servers(ctx) })
}

// ServersAfter waits for a change of the list of servers.
func (s hedgedSource) ServersAfter(ctx context.Context, cursor Cursor, wait time.Duration) (Servers, error) {
	return callHedged(ctx, wait, hedgeAfter, nil, func(ctx context.Context, wait time.Duration) (Servers, error) {
		return s.source.ServersAfter(ctx, cursor, wait)
	})
}

// HedgedPoll makes a call that waits for a change, and hedges it when its response is overdue; the first response is used.
func HedgedPoll[T any](ctx context.Context, wait time.Duration, call func(ctx context.Context, wait time.Duration) (T, error)) (T, error) {
	return callHedged(ctx, wait, hedgeAfter, nil, call)
}

// responseStartedKey is the context key of the function that ResponseStarted calls.
type responseStartedKey struct{}

// ResponseStarted reports that the response to the call of ctx has started to arrive, so that the call is not hedged any more:
// another call would only transfer the same bytes twice.
func ResponseStarted(ctx context.Context) {
	if started, ok := ctx.Value(responseStartedKey{}).(func()); ok {
		started()
	}
}

// callResult is the result of one call; first marks the original, unhedged call.
type callResult[T any] struct {
	value T
	err   error
	first bool
}

// callHedged makes a call, and hedges it with a zero wait each time a response is overdue and probe, if not nil, reports that the source
// answers, until a response starts. It fails if the first call fails before any response has started, or if all calls fail.
func callHedged[T any](
	ctx context.Context, wait, after time.Duration, probe func(ctx context.Context) bool, call func(ctx context.Context, wait time.Duration) (T, error),
) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results, starts, answers := make(chan callResult[T], maxCalls), make(chan struct{}, 1), make(chan bool, 1)
	probeCtx := ctx
	ctx = context.WithValue(ctx, responseStartedKey{}, func() {
		select {
		case starts <- struct{}{}:
		default:
		}
	})
	send := func(wait time.Duration, first bool) {
		var value T
		// The call may have been cancelled since it was started.
		err := ctx.Err()
		if err == nil {
			value, err = call(ctx, wait)
		}
		results <- callResult[T]{value, err, first}
	}
	go send(wait, true)
	overdue := time.NewTimer(wait + after)
	defer overdue.Stop()
	started := false
	for made, pending := 1, 1; ; {
		select {
		case r := <-results:
			pending--
			if r.err == nil || isHistoryGone(r.err) || pending == 0 || r.first && !started {
				return r.value, r.err
			}
		case <-starts:
			started = true
			overdue.Stop()
		case <-overdue.C:
			if made >= maxCalls {
				continue
			}
			if probe == nil {
				answers <- true
				continue
			}
			go func() { answers <- probe(probeCtx) }()
		case answered := <-answers:
			if started {
				continue
			}
			if answered {
				made++
				pending++
				go send(0, false)
			}
			overdue.Reset(after)
		}
	}
}
