package box

import "github.com/coralstair/coralstair/weights"

// Phase is where a box stands on the way to the declared version of its service.
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

// Step is the one thing to do next.
type Step int

// The steps of a box; each may be repeated.
const (
	StepNothing Step = iota
	StepFetch
	StepTakeSlot
	StepDrain
	StepLoad
	StepServe
	StepClose
)

// Facts is what is known when the next step is chosen.
type Facts struct {
	// Declared is the manifest of the declared version; zero while none is declared.
	Declared weights.Digest
	// Offered is the manifest of the version last opened to requests; zero if none.
	Offered weights.Digest
	// Withdrawn says that the offered version has been dropped from the configuration.
	Withdrawn bool
	// Open says that requests are let in.
	Open bool
	// Stopped says that an operator stopped the box or that it is leaving.
	Stopped bool
	// Complete says that the declared weights are held and verified.
	Complete bool
	// Loaded says that the upstream reports exactly the declared weights.
	Loaded bool
	// Unknown says that the upstream has not told its state for a while: nothing is to be concluded from that.
	Unknown bool
	// Loading says that the upstream is at work on an order for the declared weights.
	Loading bool
	// Slot says that the box holds a permit to drain.
	Slot bool
	// Inside is the number of requests in progress.
	Inside int
}

// Next returns the phase that the facts amount to and the step to take.
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
	case f.Unknown && f.Open && f.Offered == f.Declared:
		return PhaseServing, StepNothing
	case f.Unknown && !f.Open && f.Complete:
		return PhaseLoading, StepNothing
	case f.Open && f.Offered == f.Declared && f.Loaded:
		return PhaseServing, StepNothing
	case f.Open && f.Offered == f.Declared:
		return PhaseLoading, StepClose
	case f.Loaded && !f.Open && (f.Offered == f.Declared || f.Inside == 0):
		return PhaseLoading, StepServe
	case !f.Complete:
		return PhaseFetching, StepFetch
	case f.Open && !f.Slot:
		return PhaseVerified, StepTakeSlot
	case f.Open:
		return PhaseDraining, StepClose
	case f.Inside > 0:
		return PhaseDraining, StepDrain
	case f.Loading:
		return PhaseLoading, StepNothing
	default:
		return PhaseLoading, StepLoad
	}
}
