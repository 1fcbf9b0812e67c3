package box

import "github.com/coralstair/coralstair/weights"

// Phase is a box's progress towards the declared version of its service.
type Phase string

// The phases of a box.
const (
	PhaseNone     Phase = "none"
	PhaseFetching Phase = "fetching"
	PhaseVerified Phase = "verified"
	PhaseDraining Phase = "draining"
	PhaseLoading  Phase = "loading"
	PhaseServing  Phase = "serving"
	PhaseStopped  Phase = "stopped"
	PhaseStuck    Phase = "stuck"
)

// Step is the next thing to do.
type Step int

// The steps of a box; each may be repeated.
const (
	StepNothing Step = iota
	StepFetch
	StepAcquireLease
	StepDrain
	StepLoad
	StepServe
	StepClose
)

// Facts is the state from which the next step is chosen.
type Facts struct {
	// Declared is the manifest of the declared version; zero while none is declared.
	Declared weights.Digest
	// Served is the manifest of the version that the gate last admitted requests to; zero if none.
	Served weights.Digest
	// Withdrawn says that the served version has been removed from the configuration.
	Withdrawn bool
	// Open says that requests are admitted.
	Open bool
	// Stopped says that an operator stopped the box or that it is leaving.
	Stopped bool
	// Complete says that the declared weights are held and verified.
	Complete bool
	// Loaded says that the upstream reports exactly the declared weights.
	Loaded bool
	// Unknown says that the upstream's state could not be read; nothing is concluded from it then.
	Unknown bool
	// Loading says that the upstream is working on an order for the declared weights.
	Loading bool
	// HasLease says that the box holds a drain lease.
	HasLease bool
	// InFlight is the number of requests in flight.
	InFlight int
}

// Next returns the phase for the given facts and the next step.
func Next(f Facts) (Phase, Step) {
	switch {
	case f.Stopped && f.Open:
		return PhaseStopped, StepClose
	case f.Stopped:
		return PhaseStopped, StepNothing
	case f.Open && (f.Withdrawn || f.Declared.IsZero()):
		return PhaseNone, StepClose
	case f.Declared.IsZero():
		return PhaseNone, StepNothing
	case f.Unknown && f.Open && f.Served == f.Declared:
		return PhaseServing, StepNothing
	case f.Unknown && !f.Open && f.Complete:
		return PhaseLoading, StepNothing
	case f.Open && f.Served == f.Declared && f.Loaded:
		return PhaseServing, StepNothing
	case f.Open && f.Served == f.Declared:
		return PhaseLoading, StepClose
	case f.Loaded && !f.Open && (f.Served == f.Declared || f.InFlight == 0):
		return PhaseLoading, StepServe
	case !f.Complete:
		return PhaseFetching, StepFetch
	case f.Open && !f.HasLease:
		return PhaseVerified, StepAcquireLease
	case f.Open:
		return PhaseDraining, StepClose
	case f.InFlight > 0:
		return PhaseDraining, StepDrain
	case f.Loading:
		return PhaseLoading, StepNothing
	default:
		return PhaseLoading, StepLoad
	}
}
