package admission

import "sync"

// Services holds the policy of each service; the zero value is ready to use.
type Services struct {
	mu sync.Mutex
	of map[string]*Policy
}

// Of returns the policy of a service.
func (s *Services) Of(service string) *Policy {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.of[service]
	if p == nil {
		if s.of == nil {
			s.of = make(map[string]*Policy)
		}
		p = &Policy{}
		s.of[service] = p
	}
	return p
}
