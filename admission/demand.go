package admission

import "time"

// Where servers have few slots and requests take long, more urgent requests that come together find no room by overtaking those that wait:
// the slots themselves are taken. While most requests of a less urgent rank are refused, a free slot finds the next of them at once, so
// these gain nothing by waiting: they wait nowhere then and leave the last free slots (trunk reservation). An entry may see none of the more
// urgent requests, so this goes by the demand at the servers, which their reports tell all entries alike.

const (
	// shortQueue is how many requests must be able to wait at a server, within the longest wait of the most urgent ones, for slots not to be
	// kept.
	shortQueue = 3
	// contendedQueue is the mean number of requests waiting for a slot at a server from which less urgent ones wait nowhere.
	contendedQueue = 0.1
	// reservedSlots is how many free slots are kept, so that the next more urgent requests of several entries find one.
	reservedSlots = 2
	// reportsDue is how long after its first request an entry waits for the servers' reports.
	reportsDue = 1500 * time.Millisecond
	// floodKnown is how long after its first request an entry knows of a rank whether most of its requests are refused.
	floodKnown = shareHalfLife
	// queueSmoothing is the weight of the latest queue length in its moving average.
	queueSmoothing = 0.05
)

// Demand is the demand for a service's slots as one entry knows it: the mean number of requests that wait for a slot at a server, and the
// free slots of all servers that take requests. Reported says that most servers' reports are part of it, besides this entry's own
// requests.
type Demand struct {
	Queued    float64
	FreeSlots int
	Reported  bool
}

// slotDemand is the demand for a service's slots over time. The zero value is that of a service without any.
type slotDemand struct {
	// queued is the moving average of the queue length, freeSlots the latest number of free slots.
	queued    float64
	freeSlots int
	// since is when the demand was first observed; assumed is set while no reports have come since.
	since   time.Time
	assumed bool
}

// observe updates the demand. An entry that has just started and knows only its own requests assumes that no slot is free.
func (d *slotDemand) observe(latest Demand, now time.Time) {
	if d.since.IsZero() {
		d.queued, d.since, d.assumed = contendedQueue, now, true
	}
	d.assumed = d.assumed && !latest.Reported && now.Sub(d.since) < reportsDue
	if d.assumed {
		return
	}
	d.freeSlots = latest.FreeSlots
	if d.queued += queueSmoothing * (latest.Queued - d.queued); d.queued < forgotten {
		d.queued = 0
	}
}

// limit returns the fraction of the usual longest wait beyond NoWait that a less urgent request may have, and whether it is refused even
// without a wait. flooded says that most requests of its rank are refused; an entry that has just started assumes it, as the other entries may
// know.
func (d *slotDemand) limit(flooded bool, now time.Time) (fraction float64, refused bool) {
	switch {
	case d.assumed:
		return 0, true
	case !flooded && now.Sub(d.since) >= floodKnown:
		return 1, false
	default:
		return 1 - min(1, d.queued/contendedQueue), d.contended()
	}
}

// contended reports whether requests wait for a slot while no more slots are free than are kept.
func (d *slotDemand) contended() bool { return d.queued > 0 && d.freeSlots <= reservedSlots }

// keepsSlots reports whether slots have to be kept for the service's most urgent requests.
func (r Request) keepsSlots() bool {
	return time.Duration(firstTryShare*float64(r.ServiceGoal)) < shortQueue*r.SlotWait
}
