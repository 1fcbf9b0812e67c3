package admission

import (
	"slices"
	"time"
)

const (
	// forecastStep is the precision of predicted times; reports give the time until a server is ready with 250 ms.
	forecastStep = 50 * time.Millisecond
	// forecastHorizon is how far ahead room is predicted: no caller waits longer for its first event in a short gap.
	forecastHorizon = 8 * time.Second
	// reportError covers what a right prediction is off: half the precision of reports and their age.
	reportError = 220 * time.Millisecond
)

// Opening is a server that takes requests once In has passed, 0 for one that takes them now. Free of its Slots are free then; Share is
// the part of them that falls to this entry.
type Opening struct {
	In    time.Duration
	Slots int
	Free  int
	Share float64
}

// Forecast is what is predicted of the room at the servers of a service.
type Forecast struct {
	Openings []Opening
	// SlotTime is how long a usual request occupies a slot (above 0), First the time to its first event at a server with a free slot.
	SlotTime time.Duration
	First    time.Duration
	// Error is by how much the predicted opening moves away per second that passes.
	Error float64
}

// FirstOpening returns the time until the first server takes requests; ok is false when none is predicted to.
func (f Forecast) FirstOpening() (in time.Duration, ok bool) {
	for _, o := range f.Openings {
		if !ok || o.In < in {
			in, ok = o.In, true
		}
	}
	return in, ok
}

// Coming reports whether more servers are predicted to take requests than do now.
func (f Forecast) Coming() bool {
	return slices.ContainsFunc(f.Openings, func(o Opening) bool { return o.In > 0 })
}

// margin returns by how much a predicted opening may be too soon.
func (f Forecast) margin(opens time.Duration) time.Duration {
	return reportError + time.Duration(f.Error*float64(opens))
}

// spareSlots returns how many slots of this entry's share of the servers that stand by then are left over by first tries that come at a
// rate per second.
func (f Forecast) spareSlots(in time.Duration, perSecond float64) float64 {
	slots := 0.0
	for _, o := range f.Openings {
		if o.In <= in {
			slots += o.Share * float64(o.Slots)
		}
	}
	return max(0, slots-perSecond*f.SlotTime.Seconds())
}

// spareRoomBy returns how many requests this entry's share of the servers can start within a time beside such first tries.
func (f Forecast) spareRoomBy(in time.Duration, perSecond float64) float64 {
	room, slots := 0.0, 0.0
	for _, o := range f.Openings {
		if o.In > in {
			continue
		}
		slots += o.Share * float64(o.Slots)
		room += o.Share * float64(o.Free)
		room += o.Share * float64(o.Slots) * float64(in-o.In) / float64(f.SlotTime)
	}
	if slots <= 0 {
		return 0
	}
	return room * f.spareSlots(in, perSecond) / slots
}

// slotsNow returns how many slots of this entry's share of the servers are free now, and how many become free per second.
func (f Forecast) slotsNow() (free, ending float64) {
	for _, o := range f.Openings {
		if o.In <= 0 {
			free += o.Share * float64(o.Free)
			ending += o.Share * float64(o.Slots-o.Free) / f.SlotTime.Seconds()
		}
	}
	return free, ending
}

// slippage is a decaying mean of how fast predicted openings move away.
type slippage struct {
	mean float64
	at   time.Time
	end  time.Time
}

const (
	// slippageWeight is the weight of a new sample in the mean, slippageInterval the time between two: reports come several times in it.
	slippageWeight   = 0.3
	slippageInterval = 500 * time.Millisecond
	// slippageTTL is how long a prediction is compared with later ones; a later one is of another gap.
	slippageTTL = 2 * time.Second
)

// observe takes the prediction that the first server opens in a time.
func (s *slippage) observe(in time.Duration, now time.Time) {
	passed := now.Sub(s.at)
	if passed < slippageInterval {
		return
	}
	end := now.Add(in)
	if passed <= slippageTTL {
		// An opening that comes earlier than predicted does no harm, and one within the precision of reports is as predicted.
		slip := max(end.Sub(s.end)-reportError, 0)
		s.mean += slippageWeight * (float64(slip)/float64(passed) - s.mean)
	}
	s.at, s.end = now, end
}
