package peersource

import "context"

// phase is a time in which calls to the store may be made; ending it cancels them at once, also those that have not been sent yet.
type phase struct {
	ctx context.Context
	end context.CancelFunc
}

func newPhase() phase {
	ctx, end := context.WithCancel(context.Background())
	return phase{ctx, end}
}

// ended reports whether the phase has ended.
func (p phase) ended() bool { return p.ctx.Err() != nil }

// bind returns a context that ends with ctx or with the phase.
func (p phase) bind(ctx context.Context) (context.Context, context.CancelFunc) {
	bound, cancel := context.WithCancel(p.ctx)
	stop := context.AfterFunc(ctx, cancel)
	return bound, func() {
		stop()
		cancel()
	}
}
