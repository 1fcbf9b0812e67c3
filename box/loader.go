package box

import (
	"context"
	"sync"
	"time"

	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/permit"
	"github.com/coralstair/coralstair/tracing"
	"github.com/coralstair/coralstair/upstream"
	"github.com/coralstair/coralstair/weights"
)

const (
	loaderEvery = 100 * time.Millisecond
	stateEvery  = time.Second
	slotRetry   = time.Second
	orderRetry  = 2 * time.Second
	epochRetry  = time.Second
)

// loader brings the upstream from what it runs to what is declared, one step at a time.
type loader struct {
	box    *Box
	client *upstream.Client
	drains *permit.Drains

	epoch     int64
	nextEpoch time.Time
	orders    int64
	fence     upstream.Fence
	slot      *permit.Slot
	nextSlot  time.Time
	ordered   weights.Digest
	nextOrder time.Time
	state     upstream.State
	stateAt   time.Time
	unknown   bool
	reachable bool

	mu      sync.Mutex
	current Phase
	doubt   bool
}

// Serve takes step after step until ctx ends.
func (l *loader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(loaderEvery)
	defer ticker.Stop()
	for {
		if l.box.cfg.Kind == fleet.KindPlain {
			l.stepPlain(ctx)
		} else {
			l.stepModel(ctx)
		}
		changed, transferred := l.box.follower.Changed(), l.box.transfer.Changed()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-changed:
		case <-transferred:
		}
	}
}

func (l *loader) phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == "" {
		return PhaseNone
	}
	return l.current
}

// suspect has the upstream asked for its state before it is trusted again.
func (l *loader) suspect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.doubt = true
}

func (l *loader) setPhase(phase Phase) {
	l.mu.Lock()
	old := l.current
	l.current = phase
	l.mu.Unlock()
	if old == phase {
		return
	}
	l.box.log.WithField("phase", string(phase)).Info("loader: phase changed")
	l.box.tellSessions()
}

func (l *loader) stopped(cfg fleet.Config) bool {
	return l.box.leaving.Load() || cfg.Stopped[l.box.cfg.ID]
}

// stepPlain opens the gate while the plain service answers.
func (l *loader) stepPlain(ctx context.Context) {
	cfg := l.box.follower.Config()
	_, known := cfg.Services[l.box.cfg.Service]
	if l.takeDoubt() || time.Since(l.stateAt) > stateEvery {
		l.reachable = l.client.Reachable(ctx)
		l.stateAt = time.Now()
	}
	_, open := l.box.gate.State()
	switch {
	case l.stopped(cfg):
		l.box.gate.Close("the box is stopped")
		l.setPhase(PhaseStopped)
	case !known || !l.reachable:
		l.box.gate.Close("the upstream is not there")
		l.setPhase(PhaseNone)
	case !open:
		l.box.gate.Open(Offer{}, l.box.cfg.Checks)
		l.setPhase(PhaseServing)
	}
}

// stepModel takes the next step towards the declared version.
func (l *loader) stepModel(ctx context.Context) {
	cfg := l.box.follower.Config()
	l.box.transfer.SetPrefer(cfg.Prefer)
	version, _ := cfg.Declared(l.box.cfg.Service)
	declared, err := weights.ParseDigest(version.Digest)
	if version.Digest != "" && err != nil {
		l.box.log.WithError(err).Error("loader: declared digest cannot be read")
		return
	}
	l.haveEpoch(ctx)
	l.refresh(ctx)
	l.renewSlot(ctx)
	offer, open := l.box.gate.State()
	manifest, complete, failed := l.box.transfer.Complete(declared)
	if failed != nil && !open {
		l.box.log.WithError(failed).Error("loader: declared version can not be had")
		l.setPhase(PhaseStuck)
		return
	}
	facts := Facts{
		Declared: declared, Offered: digestOrZero(offer.Digest), Open: open,
		Withdrawn: open && !cfg.Digests(l.box.cfg.Service)[offer.Digest],
		Stopped:   l.stopped(cfg), Complete: complete, Slot: l.slot != nil, Inside: l.box.gate.Inside(),
		Loaded:  !l.unknown && l.loaded(manifest, complete, offer, declared),
		Unknown: l.unknown,
		Loading: l.state.Phase == upstream.PhaseLoading && l.ordered == declared,
	}
	phase, step := Next(facts)
	l.take(ctx, step, cfg, version, declared, manifest)
	l.setPhase(phase)
}

func (l *loader) take(ctx context.Context, step Step, cfg fleet.Config, version fleet.Version, declared weights.Digest, manifest weights.Manifest) {
	offer, _ := l.box.gate.State()
	switch step {
	case StepFetch:
		l.box.transfer.SetTarget(declared, digestOrZero(offer.Digest))
	case StepTakeSlot:
		l.takeSlot(ctx, cfg.Services[l.box.cfg.Service])
	case StepClose:
		l.box.gate.Close("the box does not serve now")
		l.box.tellSessions()
	case StepLoad:
		l.order(ctx, cfg, version, declared, manifest)
	case StepServe:
		l.serve(ctx, version, declared, manifest)
	case StepNothing, StepDrain:
	}
}

// loaded reports whether the upstream runs exactly the declared weights.
func (l *loader) loaded(manifest weights.Manifest, complete bool, offer Offer, declared weights.Digest) bool {
	if l.state.Phase != upstream.PhaseReady {
		return false
	}
	if complete {
		return l.state.Digest == manifest.Whole.String()
	}
	return offer.Digest == declared.String() && l.state.Digest == offer.Whole
}

// order tells the upstream to load the declared weights, once it is known that all of them are held.
func (l *loader) order(ctx context.Context, cfg fleet.Config, version fleet.Version, declared weights.Digest, manifest weights.Manifest) {
	if time.Now().Before(l.nextOrder) || !l.haveEpoch(ctx) || !l.guard(ctx) {
		return
	}
	l.nextOrder = time.Now().Add(orderRetry)
	if _, complete, _ := l.box.transfer.Complete(declared); !l.box.cfg.Checks.Check(complete, invariant.VerifiedBeforeUse,
		"order to load %s before it was verified", declared) {
		return
	}
	ctx, span := tracing.Start(ctx, "engine load")
	defer span.End()
	l.orders++
	fence := upstream.Fence{Epoch: l.epoch, Revision: uint64(cfg.Revision), Number: l.orders}
	l.box.cfg.Checks.Check(l.fence.Less(fence), invariant.FenceGrows, "fence %+v would follow %+v", fence, l.fence)
	l.fence = fence
	err := l.client.Order(ctx, upstream.Order{
		Fence:  fence,
		Action: upstream.ActionLoad, Service: version.Service, Version: version.Name,
		Digest: manifest.Whole.String(), Size: manifest.Size,
		Source: "http://" + l.box.cfg.Advertise + pathWeights + declared.String(),
	})
	if err != nil {
		l.box.log.WithError(err).Warn("loader: order not confirmed")
	}
	l.ordered = declared
	l.suspect()
}

// haveEpoch takes the daemon's epoch from the table once, as early as it can be had, so that an outage later does not
// matter; without it no order may be given.
func (l *loader) haveEpoch(ctx context.Context) bool {
	if l.epoch > 0 || time.Now().Before(l.nextEpoch) {
		return l.epoch > 0
	}
	l.nextEpoch = time.Now().Add(epochRetry)
	epoch, err := permit.Epoch(ctx, l.box.cfg.Table, l.box.cfg.Fleet, l.box.cfg.ID)
	if err != nil {
		l.box.log.WithError(err).Warn("loader: no epoch, so no orders yet")
		return false
	}
	l.epoch = epoch
	return true
}

// guard stands in for the fence at an upstream that does not check it: the table must not know of a later daemon of
// this box. While the table is out the box's port alone is the lock.
func (l *loader) guard(ctx context.Context) bool {
	if !l.box.cfg.UncheckedFences {
		return true
	}
	current, err := permit.Current(ctx, l.box.cfg.Table, l.box.cfg.Fleet, l.box.cfg.ID, l.epoch)
	if err == nil && !current {
		l.box.log.Error("loader: a later daemon of this box has orders to give")
		return false
	}
	return true
}

// refresh asks the upstream for its state when that is old, in doubt or about to change.
func (l *loader) refresh(ctx context.Context) {
	doubt := l.takeDoubt()
	loading := l.state.Phase == upstream.PhaseLoading
	if !doubt && !loading && time.Since(l.stateAt) < stateEvery {
		return
	}
	l.stateAt = time.Now()
	state, err := l.client.State(ctx)
	if err != nil {
		l.unknown = true
		l.box.log.WithError(err).Warn("loader: upstream's state not known")
		return
	}
	l.unknown = false
	l.state = state
}

// renewSlot keeps the drain permit while long answers are waited for.
func (l *loader) renewSlot(ctx context.Context) {
	if l.slot == nil || !l.slot.Due(time.Now()) {
		return
	}
	slot, err := l.drains.Renew(ctx, *l.slot)
	if err != nil {
		l.box.log.WithError(err).Warn("loader: drain permit not renewed")
		return
	}
	l.slot = &slot
}

// serve lets requests in and gives the drain permit back.
func (l *loader) serve(ctx context.Context, version fleet.Version, declared weights.Digest, manifest weights.Manifest) {
	whole := manifest.Whole
	if whole.IsZero() {
		whole = digestOrZero(l.state.Digest)
	}
	offer := Offer{Version: version.Name, Digest: declared.String(), Whole: whole.String()}
	if !l.box.gate.Open(offer, l.box.cfg.Checks) {
		return
	}
	l.box.tellSessions()
	if l.slot == nil {
		return
	}
	if err := l.drains.Release(ctx, *l.slot); err != nil {
		l.box.log.WithError(err).Warn("loader: drain permit lapses by itself")
	}
	l.slot = nil
}

func (l *loader) takeDoubt() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	doubt := l.doubt
	l.doubt = false
	return doubt
}

// takeSlot asks for a permit to drain, so that only a share of the service's replicas does so at a time.
func (l *loader) takeSlot(ctx context.Context, service fleet.Service) {
	if time.Now().Before(l.nextSlot) {
		return
	}
	slot, ok, err := l.drains.Take(ctx, service.Name, service.Draining())
	if err != nil {
		l.box.log.WithError(err).Warn("loader: no answer on the drain permit")
	}
	if !ok {
		l.nextSlot = time.Now().Add(slotRetry)
		return
	}
	l.slot = &slot
}

func digestOrZero(text string) weights.Digest {
	digest, err := weights.ParseDigest(text)
	if err != nil {
		return weights.Digest{}
	}
	return digest
}
