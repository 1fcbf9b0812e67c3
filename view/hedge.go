package view

import (
	"context"
	"time"
)

const (
	// reissueAfter is how long the answer to a small call may be overdue before the call is made anew beside it, readAfter the
	// same for a whole read, whose answer is long. A connection may fall silent for good while new ones work: without the
	// second call an entry knew of a configuration 12 s late, with it and waits of 1.5 s 2.1 s at most (virtual time, tests here).
	reissueAfter = 500 * time.Millisecond
	readAfter    = 1200 * time.Millisecond
	// mostCalls is how many calls for the same thing are made at most.
	mostCalls = 4
)

// Reissue returns a source that makes a call anew, beside the first one, when its answer is overdue; the first answer counts.
func Reissue(source Source) Source { return reissuing{source} }

// reissuing is a source whose calls do not hang on one connection.
type reissuing struct{ source Source }

// Declared reads the whole of what is declared.
func (s reissuing) Declared(ctx context.Context) (Declared, error) {
	return reissue(ctx, 0, readAfter, func(ctx context.Context, _ time.Duration) (Declared, error) { return s.source.Declared(ctx) })
}

// DeclaredAfter waits for a change of what is declared.
func (s reissuing) DeclaredAfter(ctx context.Context, cursor Cursor, wait time.Duration) (Declared, error) {
	return reissue(ctx, wait, reissueAfter, func(ctx context.Context, wait time.Duration) (Declared, error) {
		return s.source.DeclaredAfter(ctx, cursor, wait)
	})
}

// SomeServers reads some of the listed servers, all of them where the source cannot.
func (s reissuing) SomeServers(ctx context.Context, most int) (Servers, error) {
	some, ok := s.source.(interface {
		SomeServers(ctx context.Context, most int) (Servers, error)
	})
	if !ok {
		return s.Servers(ctx)
	}
	return reissue(ctx, 0, readAfter, func(ctx context.Context, _ time.Duration) (Servers, error) { return some.SomeServers(ctx, most) })
}

// Servers reads the whole list of servers.
func (s reissuing) Servers(ctx context.Context) (Servers, error) {
	return reissue(ctx, 0, readAfter, func(ctx context.Context, _ time.Duration) (Servers, error) { return s.source.Servers(ctx) })
}

// ServersAfter waits for a change of the list of servers.
func (s reissuing) ServersAfter(ctx context.Context, cursor Cursor, wait time.Duration) (Servers, error) {
	return reissue(ctx, wait, reissueAfter, func(ctx context.Context, wait time.Duration) (Servers, error) {
		return s.source.ServersAfter(ctx, cursor, wait)
	})
}

// Reissued makes a call that waits for a change, and makes it anew beside the first one when its answer is overdue; the first
// answer counts.
func Reissued[T any](ctx context.Context, wait time.Duration, call func(ctx context.Context, wait time.Duration) (T, error)) (T, error) {
	return reissue(ctx, wait, reissueAfter, call)
}

// begunKey is the key of the context's value that Begun calls.
type begunKey struct{}

// Begun tells that the answer to the call of a context has begun: it is on its way, however long it takes, and asking for it
// again would have the same bytes sent twice.
func Begun(ctx context.Context) {
	if begun, ok := ctx.Value(begunKey{}).(func()); ok {
		begun()
	}
}

// answered is what a call came to; first says that it was the first of its kind.
type answered[T any] struct {
	value T
	err   error
	first bool
}

// reissue makes a call, and makes it again without waiting each time an answer is overdue, until one has begun. It fails when
// the first call fails before another has begun to be answered, or when all have failed.
func reissue[T any](
	ctx context.Context, wait, after time.Duration, call func(ctx context.Context, wait time.Duration) (T, error),
) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers, begins := make(chan answered[T], mostCalls), make(chan struct{}, 1)
	ctx = context.WithValue(ctx, begunKey{}, func() {
		select {
		case begins <- struct{}{}:
		default:
		}
	})
	ask := func(wait time.Duration, first bool) {
		value, err := call(ctx, wait)
		answers <- answered[T]{value, err, first}
	}
	go ask(wait, true)
	overdue := time.NewTimer(wait + after)
	defer overdue.Stop()
	begun := false
	for made, open := 1, 1; ; {
		select {
		case a := <-answers:
			open--
			if a.err == nil || gone(a.err) || open == 0 || a.first && !begun {
				return a.value, a.err
			}
		case <-begins:
			begun = true
			overdue.Stop()
		case <-overdue.C:
			if made < mostCalls {
				made++
				open++
				go ask(0, false)
				overdue.Reset(after)
			}
		}
	}
}
