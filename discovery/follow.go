package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

const (
	maxRetryDelay = 600 * time.Millisecond
	// maxReadRate bounds the rate at which a daemon reads changes, in bytes a second.
	maxReadRate = 1 << 20
)

// ServeDeclared follows the declared configuration and targets until ctx ends.
func (v *View) ServeDeclared(ctx context.Context) error {
	cursor, known, first := Cursor{}, false, true
	return v.follow(ctx, "declared", func(ctx context.Context, wait time.Duration) (time.Duration, error) {
		var declared Declared
		var err error
		if known {
			declared, err = v.source.DeclaredAfter(ctx, cursor, wait)
		} else {
			declared, err = v.source.Declared(ctx)
		}
		if err != nil {
			// A full read returns one configuration, the feed each revision since: 32 of them after a storm of changes.
			known = false
			return 0, err
		}
		v.checkEpoch(known, cursor, declared.Cursor)
		changed := v.applyDeclared(declared, first, !known)
		v.confirmDeclared(declared.Cursor)
		cursor, known, first = declared.Cursor, !changed || first || !v.opts.FullReadOnChange, false
		if !changed {
			return 0, nil
		}
		return coalesceDelay(declared.Size, v.opts.CoalesceDelay), nil
	})
}

// ServeServers follows the list of servers until ctx ends.
func (v *View) ServeServers(ctx context.Context) error {
	cursor, known := Cursor{}, false
	return v.follow(ctx, "servers", func(ctx context.Context, wait time.Duration) (time.Duration, error) {
		var servers Servers
		var err error
		if known {
			servers, err = v.source.ServersAfter(ctx, cursor, wait)
		} else {
			servers, err = v.source.Servers(ctx)
		}
		if err != nil {
			known = known && !isHistoryGone(err)
			return 0, err
		}
		v.checkEpoch(known, cursor, servers.Cursor)
		v.applyServers(servers, !known && !servers.Partial)
		if servers.Partial {
			return 0, nil
		}
		v.confirmList()
		cursor, known = servers.Cursor, true
		if len(servers.Present)+len(servers.Removed) == 0 {
			return 0, nil
		}
		return v.opts.ServersCoalesceDelay, nil
	})
}

// isHistoryGone reports whether the store no longer has the history, so that a full read is needed.
func isHistoryGone(err error) bool {
	return errors.As(err, new(*HistoryGoneError))
}

// coalesceDelay returns the delay after a response with a change: the time that its bytes take at maxReadRate, so that small changes
// apply soon and large ones in quick succession do not saturate the links.
func coalesceDelay(size int, limit time.Duration) time.Duration {
	if size == 0 {
		return limit
	}
	return min(time.Duration(size)*time.Second/maxReadRate, limit)
}

// follow makes one call after another with the delay that each returns, and backs off exponentially after failures.
func (v *View) follow(ctx context.Context, feed string, call func(ctx context.Context, wait time.Duration) (time.Duration, error)) error {
	backoff, lost := v.opts.MinRetryDelay, false
	for {
		timeout := v.opts.PollTimeout
		if lost {
			// A long poll that is sent during an outage may hang long after the store is back.
			timeout = 0
		}
		wait, err := call(ctx, timeout)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			if !lost {
				v.opts.Log.WithField("feed", feed).WithField("cause", err.Error()).Warn("view: the store is lost")
			}
			v.recordUnreachable(!lost)
			lost = true
			wait = backoff/2 + rand.N(backoff)
			backoff = min(2*backoff, maxRetryDelay)
		default:
			if lost {
				v.opts.Log.WithField("feed", feed).Info("view: the store is back")
				v.recordReachable()
			}
			backoff, lost = v.opts.MinRetryDelay, false
		}
		if wait == 0 {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}
