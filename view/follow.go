package view

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"
)

// maxRetry bounds the pause after calls that fail one after the other.
const maxRetry = time.Second

// ServeDeclared follows what operators declare until ctx ends.
func (v *View) ServeDeclared(ctx context.Context) error {
	cursor, known, first := Cursor(0), false, true
	return v.follow(ctx, "declared", v.opts.Settle, func(ctx context.Context) (bool, error) {
		var declared Declared
		var err error
		if known {
			declared, err = v.source.DeclaredAfter(ctx, cursor, v.opts.Wait)
		} else {
			declared, err = v.source.Declared(ctx)
		}
		if err != nil {
			known = known && !gone(err)
			return false, err
		}
		changed := v.takeDeclared(declared, first)
		cursor, known, first = declared.Cursor, !changed || first || !v.opts.Reread, false
		return changed, nil
	})
}

// ServeServers follows the list of servers until ctx ends.
func (v *View) ServeServers(ctx context.Context) error {
	cursor, known := Cursor(0), false
	return v.follow(ctx, "servers", v.opts.ServersSettle, func(ctx context.Context) (bool, error) {
		var servers Servers
		var err error
		if known {
			servers, err = v.source.ServersAfter(ctx, cursor, v.opts.Wait)
		} else {
			servers, err = v.source.Servers(ctx)
		}
		if err != nil {
			known = known && !gone(err)
			return false, err
		}
		v.takeServers(servers, !known)
		cursor, known = servers.Cursor, true
		return len(servers.Present)+len(servers.Gone) > 0, nil
	})
}

func gone(err error) bool {
	var history *HistoryGoneError
	return errors.As(err, &history)
}

// follow makes one call after another; after a failure it pauses, longer each time.
func (v *View) follow(ctx context.Context, what string, settle time.Duration, call func(context.Context) (bool, error)) error {
	pause, lost := v.opts.Retry, false
	for {
		changed, err := call(ctx)
		wait := time.Duration(0)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			if !lost {
				v.opts.Log.WithField("feed", what).WithField("cause", err.Error()).Warn("view: the store is lost")
			}
			v.setAway(!lost)
			lost = true
			wait = pause/2 + rand.N(pause)
			pause = min(2*pause, maxRetry)
		default:
			if lost {
				v.opts.Log.WithField("feed", what).Info("view: the store is back")
				v.setBack()
			}
			pause, lost = v.opts.Retry, false
			if changed {
				wait = settle
			}
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
