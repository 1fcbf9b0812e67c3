package contract

import "time"

// Kind says whether a route's requests may be repeated.
type Kind string

// The kinds of a route.
const (
	// KindSafe requests may run more than once.
	KindSafe Kind = "safe"
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindStream requests get an event stream; they run at most once unless the stream may be resumed.
	KindStream Kind = "stream"
)

// Share is the part of a route's requests, by weight, that goes to a service.
type Share struct {
	Service string
	Weight  int
}

// Route configures the requests of a host under a path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// TimeLimit bounds the time of a request; Goal is the time within which its response has full value.
	TimeLimit time.Duration
	Goal      time.Duration
	// PauseGoal is the longest pause between events with which a stream is on time.
	PauseGoal time.Duration
	// Priority is the route's rank, 0 the highest.
	Priority int
	Split    []Share
	// Attempts is the most servers to which one request may be sent.
	Attempts  int
	Public    bool
	Resumable bool
	// Homes are the regions that may serve the route's requests; none means all.
	Homes []string
}

// Repeatable reports whether a request of the route may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Service returns the service for a request; fraction, in [0, 1), selects it by the cumulative weights.
func (r *Route) Service(fraction float64) string {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	left := fraction * float64(total)
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
