package admission

import (
	"math"
	"time"
)

const (
	// fillTime is the time in which free slots are given to held requests: two intervals of reports, so that each entry sees what the
	// others took.
	fillTime = 200 * time.Millisecond
	// rateTime is the time over which the rate of first tries is averaged.
	rateTime = 2 * time.Second
)

// Release returns the held requests to send now, and those to refuse because their first events are no longer expected in time.
func (r *Room) Release(f Forecast, now time.Time) (send, refuse []*Held) {
	r.mu.Lock()
	defer r.mu.Unlock()
	opens, ok := f.FirstOpening()
	if ok {
		f.Error = r.observe(opens, now)
	}
	for n := r.countReleases(f, now); n > 0 && len(r.held) > 0; n-- {
		send = append(send, r.held[0])
		r.held = r.held[1:]
		r.credit--
		r.surplus--
	}
	return send, r.dropSlipped(f, opens, ok, now)
}

// countReleases returns how many held requests may be sent now. First tries go first, since they can still be in time: held requests get
// the throughput that these leave over, and of the slots that are free now those that these do not take before reports show it. mu is held.
func (r *Room) countReleases(f Forecast, now time.Time) int {
	passed := now.Sub(r.releasedAt)
	if passed > f.SlotTime {
		r.credit, r.surplus, r.spareSlots, passed = 0, 0, 0, 0
	}
	r.releasedAt = now
	passed = min(passed, fillTime)
	fresh := r.fresh.rate(now)
	spare := f.spareSlots(0, fresh)
	r.surplus += max(spare-r.spareSlots, 0)
	r.surplus += spare * passed.Seconds() / f.SlotTime.Seconds()
	r.surplus, r.spareSlots = min(r.surplus, max(spare, 1)), spare
	free, ending := f.slotsNow()
	free = max(free-max(fresh-ending, 0)*fillTime.Seconds(), 0)
	r.credit = min(r.credit+free*passed.Seconds()/fillTime.Seconds(), max(free, 1))
	if spare <= 0 || free <= 0 {
		return 0
	}
	return int(min(r.credit, r.surplus))
}

// dropSlipped removes the held requests whose first events would come too late; mu is held.
func (r *Room) dropSlipped(f Forecast, opens time.Duration, known bool, now time.Time) (late []*Held) {
	if !known {
		opens = forecastHorizon
	}
	in := opens
	kept := make([]*Held, 0, len(r.held))
	for _, h := range r.held {
		for in < forecastHorizon && f.spareRoomBy(in, r.fresh.rate(now)) < float64(len(kept)+1) {
			in += forecastStep
		}
		if now.Add(in + f.First).After(h.limit()) {
			late = append(late, h)
			continue
		}
		kept = append(kept, h)
	}
	r.held = kept
	return late
}

// arrivals is a decaying rate per second.
type arrivals struct {
	perSecond float64
	at        time.Time
}

func (a arrivals) rate(now time.Time) float64 {
	return a.perSecond * math.Exp(-now.Sub(a.at).Seconds()/rateTime.Seconds())
}

func (a arrivals) with(now time.Time) arrivals {
	return arrivals{perSecond: a.rate(now) + 1/rateTime.Seconds(), at: now}
}
