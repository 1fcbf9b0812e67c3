package contract

import "time"

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of a route.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindStream requests are answered by a series of events; they run at most once unless they may be resumed.
	KindStream Kind = "stream"
)

// Share is a part of a route's requests, by weight, that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Route says how the requests of a host under a path prefix are handled.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// TimeLimit is the longest time that a request is held, Goal the time in which its answer earns all it can.
	TimeLimit time.Duration
	Goal      time.Duration
	// PauseGoal is the longest pause between the events of a stream in time.
	PauseGoal time.Duration
	// Priority is the route's rank, 0 the highest.
	Priority int
	Split    []Share
	// Attempts is the most servers that one request may go to.
	Attempts  int
	Public    bool
	Resumable bool
}

// Repeatable reports whether a request of the route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service returns the service for a request; turn, from 0 to below 1, is its place among the weights.
func (r *Route) Service(turn float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	left := turn * float64(total)
	for _, share := range r.Split {
		if left -= float64(share.Weight); left < 0 {
			return share.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
