package admission

import (
	"maps"
	"sync"
)

// Services holds a Policy for each service. The zero value is ready to use.
type Services struct {
	mu       sync.Mutex
	policies map[string]*Policy
}

// Of returns the policy of a service, creating it on first use.
func (s *Services) Of(service string) *Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.policies[service]
	if p == nil {
		if s.policies == nil {
			s.policies = make(map[string]*Policy)
		}
		p = &Policy{}
		s.policies[service] = p
	}
	return p
}

// maxRooms bounds the rooms whose teams are counted: messages of other entries may name any.
const maxRooms = 256

// Room names what teams share: the work that a service can take from requests of one rank.
type Room struct {
	Service string
	Rank    int
}

// Rooms holds Teams for each room. The zero value is ready to use.
type Rooms struct {
	mu    sync.Mutex
	teams map[Room]*Teams
}

// Of returns the teams that share a room, creating them on first use. Beyond maxRooms the teams are not kept, so that none gets bounded.
func (r *Rooms) Of(room Room) *Teams {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.teams[room]
	if t == nil {
		t = &Teams{}
		if len(r.teams) >= maxRooms {
			return t
		}
		if r.teams == nil {
			r.teams = make(map[Room]*Teams)
		}
		r.teams[room] = t
	}
	return t
}

// All returns the teams of all rooms.
func (r *Rooms) All() map[Room]*Teams {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.teams)
}
