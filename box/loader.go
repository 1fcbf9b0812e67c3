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
	loaderInterval  = 100 * time.Millisecond
	stateInterval   = time.Second
	drainLeaseRetry = time.Second
	orderRetryDelay = 2 * time.Second
	epochRetryDelay = time.Second
)

// loader moves the upstream to the declared version, one step at a time.
type loader struct {
	box    *Box
	client *upstream.Client
	drains *permit.Drains

	epoch            int64
	nextEpochAttempt time.Time
	orderCount       int64
	fence            upstream.Fence
	drainLease       *permit.DrainLease
	nextLeaseAttempt time.Time
	orderedDigest    weights.Digest
	nextOrderAttempt time.Time
	state            upstream.State
	stateAt          time.Time
	stateUnknown     bool
	reachable        bool

	mu         sync.Mutex
	current    Phase
	stateStale bool
	// servedFence is the fence of the engine's load when requests were admitted.
	servedFence upstream.Fence
}

// Serve runs steps until ctx ends.
func (l *loader) Serve(ctx context.Context) error {
	ticker := time.NewTicker(loaderInterval)
	defer ticker.Stop()
	for {
		if l.box.cfg.Kind == fleet.KindPlain {
			l.stepPlain(ctx)
		} else {
			l.stepModel(ctx)
		}
		changed, transferred := l.box.follower.Changed(), l.box.transfer.Done()
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

// markStateStale makes the loader read the upstream's state before it relies on it again.
func (l *loader) markStateStale() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stateStale = true
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
	l.box.notifySessions()
}

func (l *loader) isStopped(cfg fleet.Config) bool {
	return l.box.leaving.Load() || cfg.Stopped[l.box.cfg.ID]
}

// stepPlain keeps the gate open while the plain service answers.
func (l *loader) stepPlain(ctx context.Context) {
	cfg := l.box.follower.Config()
	_, known := cfg.Services[l.box.cfg.Service]
	if l.clearStateStale() || time.Since(l.stateAt) > stateInterval {
		l.reachable = l.client.Reachable(ctx)
		l.stateAt = time.Now()
	}
	_, open := l.box.gate.State()
	switch {
	case l.isStopped(cfg):
		l.box.gate.Close("the box is stopped")
		l.setPhase(PhaseStopped)
	case !known || !l.reachable:
		l.box.gate.Close("the upstream is not there")
		l.setPhase(PhaseNone)
	case !open:
		l.box.gate.Open(ServedVersion{}, l.box.cfg.Checks)
		l.setPhase(PhaseServing)
	}
}

// stepModel runs the next step towards the declared version.
func (l *loader) stepModel(ctx context.Context) {
	cfg := l.box.follower.Config()
	l.box.transfer.SetPrefer(cfg.Prefer)
	version, _ := cfg.Declared(l.box.cfg.Service)
	declared, err := weights.ParseDigest(version.Digest)
	if version.Digest != "" && err != nil {
		l.box.log.WithError(err).Error("loader: declared digest cannot be parsed")
		return
	}
	l.ensureEpoch(ctx)
	l.refreshState(ctx)
	l.renewDrainLease(ctx)
	served, open := l.box.gate.State()
	manifest, complete, failed := l.box.transfer.Complete(declared)
	if failed != nil && !open {
		l.box.log.WithError(failed).Error("loader: declared version cannot be fetched")
		l.setPhase(PhaseStuck)
		return
	}
	facts := Facts{
		Declared: declared, Served: digestOrZero(served.Digest), Open: open,
		Withdrawn: open && !cfg.Digests(l.box.cfg.Service)[served.Digest],
		Stopped:   l.isStopped(cfg), Complete: complete, HasLease: l.drainLease != nil, InFlight: l.box.gate.InFlight(),
		Loaded:  !l.stateUnknown && l.loaded(manifest, complete, served, declared),
		Unknown: l.stateUnknown,
		Loading: l.state.Phase == upstream.PhaseLoading && l.orderedDigest == declared,
	}
	phase, step := Next(facts)
	l.runStep(ctx, step, cfg, version, declared, manifest)
	l.setPhase(phase)
}

func (l *loader) runStep(ctx context.Context, step Step, cfg fleet.Config, version fleet.Version, declared weights.Digest, manifest weights.Manifest) {
	served, _ := l.box.gate.State()
	switch step {
	case StepFetch:
		l.box.transfer.SetTarget(declared, digestOrZero(served.Digest))
	case StepAcquireLease:
		l.acquireDrainLease(ctx, cfg.Services[l.box.cfg.Service])
	case StepClose:
		l.box.gate.Close("the box does not serve now")
		l.box.notifySessions()
	case StepLoad:
		l.orderLoad(ctx, cfg, version, declared, manifest)
	case StepServe:
		l.openGate(ctx, version, declared, manifest)
	case StepNothing, StepDrain:
	}
}

// loaded reports whether the upstream runs exactly the declared weights.
func (l *loader) loaded(manifest weights.Manifest, complete bool, served ServedVersion, declared weights.Digest) bool {
	if l.state.Phase != upstream.PhaseReady {
		return false
	}
	if complete {
		return l.state.Digest == manifest.Whole.String()
	}
	return served.Digest == declared.String() && l.state.Digest == served.Whole
}

// orderLoad orders the upstream to load the declared weights, once all of them are verified.
func (l *loader) orderLoad(ctx context.Context, cfg fleet.Config, version fleet.Version, declared weights.Digest, manifest weights.Manifest) {
	if time.Now().Before(l.nextOrderAttempt) || !l.ensureEpoch(ctx) || !l.isNewestDaemon(ctx) {
		return
	}
	l.nextOrderAttempt = time.Now().Add(orderRetryDelay)
	if _, complete, _ := l.box.transfer.Complete(declared); !l.box.cfg.Checks.Check(complete, invariant.VerifiedBeforeUse,
		"order to load %s before it was verified", declared) {
		return
	}
	ctx, span := tracing.Start(ctx, "engine load")
	defer span.End()
	l.orderCount++
	fence := upstream.Fence{Epoch: l.epoch, Revision: uint64(cfg.Revision), Number: l.orderCount}
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
	l.orderedDigest = declared
	l.markStateStale()
}

// ensureEpoch gets the daemon's epoch from the table once, as early as possible, so that a later outage does not matter;
// no order is sent without it.
func (l *loader) ensureEpoch(ctx context.Context) bool {
	if l.epoch > 0 || time.Now().Before(l.nextEpochAttempt) {
		return l.epoch > 0
	}
	l.nextEpochAttempt = time.Now().Add(epochRetryDelay)
	epoch, err := permit.NextEpoch(ctx, l.box.cfg.Table, l.box.cfg.Fleet, l.box.cfg.ID)
	if err != nil {
		l.box.log.WithError(err).Warn("loader: no epoch; orders cannot be sent yet")
		return false
	}
	l.epoch = epoch
	return true
}

// isNewestDaemon replaces the fence for an upstream that does not check it: the table must know no newer daemon of this box.
// While the table is unreachable, only the box's port protects against a second daemon.
func (l *loader) isNewestDaemon(ctx context.Context) bool {
	if !l.box.cfg.UncheckedFences {
		return true
	}
	current, err := permit.IsCurrent(ctx, l.box.cfg.Table, l.box.cfg.Fleet, l.box.cfg.ID, l.epoch)
	if err == nil && !current {
		l.box.log.Error("loader: a newer daemon of this box is running; order not sent")
		return false
	}
	return true
}

// refreshState reads the upstream's state when it is old or marked stale, and at each step while the upstream loads.
func (l *loader) refreshState(ctx context.Context) {
	stale := l.clearStateStale()
	loading := l.state.Phase == upstream.PhaseLoading
	if !stale && !loading && time.Since(l.stateAt) < stateInterval {
		return
	}
	l.stateAt = time.Now()
	state, err := l.client.State(ctx)
	if err != nil {
		l.stateUnknown = true
		l.box.log.WithError(err).Warn("loader: upstream state not known")
		return
	}
	l.stateUnknown = false
	l.state = state
}

// renewDrainLease keeps the drain lease while long responses are in flight.
func (l *loader) renewDrainLease(ctx context.Context) {
	if l.drainLease == nil || !l.drainLease.NeedsRenewal(time.Now()) {
		return
	}
	lease, err := l.drains.Renew(ctx, *l.drainLease)
	if err != nil {
		l.box.log.WithError(err).Warn("loader: drain lease not renewed")
		return
	}
	l.drainLease = &lease
}

// openGate admits requests and releases the drain lease.
func (l *loader) openGate(ctx context.Context, version fleet.Version, declared weights.Digest, manifest weights.Manifest) {
	whole := manifest.Whole
	if whole.IsZero() {
		whole = digestOrZero(l.state.Digest)
	}
	served := ServedVersion{Version: version.Name, Digest: declared.String(), Whole: whole.String()}
	if !l.box.gate.Open(served, l.box.cfg.Checks) {
		return
	}
	l.mu.Lock()
	l.servedFence = l.state.Fence
	l.mu.Unlock()
	l.box.notifySessions()
	if l.drainLease == nil {
		return
	}
	if err := l.drains.Release(ctx, *l.drainLease); err != nil {
		l.box.log.WithError(err).Warn("loader: drain lease not released; it will expire")
	}
	l.drainLease = nil
}

// engineLives reports whether the engine still has the load with which requests were admitted: one that has restarted is empty until it is
// ordered anew.
func (l *loader) engineLives() bool {
	state, err := l.client.State(context.Background())
	l.mu.Lock()
	defer l.mu.Unlock()
	return err == nil && state.Phase == upstream.PhaseReady && state.Fence == l.servedFence
}

func (l *loader) clearStateStale() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	stale := l.stateStale
	l.stateStale = false
	return stale
}

// acquireDrainLease gets a drain lease, so that only a share of the service's replicas drains at a time.
func (l *loader) acquireDrainLease(ctx context.Context, service fleet.Service) {
	if time.Now().Before(l.nextLeaseAttempt) {
		return
	}
	lease, ok, err := l.drains.Acquire(ctx, service.Name, service.Draining())
	if err != nil {
		l.box.log.WithError(err).Warn("loader: drain lease not acquired")
	}
	if !ok {
		l.nextLeaseAttempt = time.Now().Add(drainLeaseRetry)
		return
	}
	l.drainLease = &lease
}

func digestOrZero(text string) weights.Digest {
	digest, err := weights.ParseDigest(text)
	if err != nil {
		return weights.Digest{}
	}
	return digest
}
