package admission

import "sync"

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
