package admission

import "time"

// Where servers have few slots and requests take long, more urgent requests that come together find no room by overtaking those that wait:
// the slots themselves are taken. Less urgent requests then wait nowhere and leave the last free slots (trunk reservation). An entry may
// see none of the more urgent requests, so this goes by the demand at the servers, which their reports tell all entries alike.

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
	// since is when the demand was first observed.
	since time.Time
}

// observe updates the demand. An entry that has just started and knows only its own requests assumes that no slot is free.
func (d *slotDemand) observe(latest Demand, now time.Time) {
	if d.since.IsZero() {
		d.queued, d.since = contendedQueue, now
	}
	if !latest.Reported && now.Sub(d.since) < reportsDue {
		d.freeSlots = 0
		return
	}
	d.freeSlots = latest.FreeSlots
	if d.queued += queueSmoothing * (latest.Queued - d.queued); d.queued < forgotten {
		d.queued = 0
	}
}

// isReserved reports whether the free slots are kept for more urgent requests.
func (d *slotDemand) isReserved() bool { return d.queued > 0 && d.freeSlots <= reservedSlots }

// waitFraction returns the fraction of the usual longest wait beyond NoWait that a less urgent request may have.
func (d *slotDemand) waitFraction() float64 { return 1 - min(1, d.queued/contendedQueue) }

// keepsSlots reports whether slots have to be kept for the service's most urgent requests.
func (r Request) keepsSlots() bool {
	return time.Duration(firstTryShare*float64(r.ServiceGoal)) < shortQueue*r.SlotWait
}
