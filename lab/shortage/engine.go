package shortage

import (
	"slices"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// attempt is one admitted request at a server, with the tokens still to read and to write.
type attempt struct {
	caller *caller
	// rank orders the attempts that wait at the server, the lowest first; server is the server's index.
	rank, server  int
	prefillTokens int
	answerTokens  int
}

// server simulates an engine with batched passes: each reads a bounded number of prompt tokens, then decodes tokens for the others. Of the
// attempts that wait for a slot the most urgent gets it first.
type server struct {
	engine  *contract.Engine
	waiting []*attempt
	slots   []*attempt
	working bool
}

// size returns the number of queued and running requests.
func (s *server) size() int { return len(s.waiting) + len(s.slots) }

// load returns the load as a box reports it; queued requests count as prefilling.
func (s *server) load() engine.Load {
	load := engine.Load{}
	for _, a := range s.slots {
		if a.prefillTokens > 0 {
			load.Prefilling++
			load.PrefillTokens += a.prefillTokens
		} else {
			load.Decoding++
		}
	}
	load.Prefilling += len(s.waiting)
	for _, a := range s.waiting {
		load.PrefillTokens += a.prefillTokens
	}
	return load
}

// startPass starts a pass and returns its duration and the attempts whose first event comes at its end.
func (s *server) startPass() (duration time.Duration, first []*attempt) {
	for len(s.slots) < s.engine.Slots && len(s.waiting) > 0 {
		next := 0
		for i, a := range s.waiting {
			if a.rank < s.waiting[next].rank {
				next = i
			}
		}
		s.slots = append(s.slots, s.waiting[next])
		s.waiting = slices.Delete(s.waiting, next, next+1)
	}
	budget, read, decoding := s.engine.Chunk, 0, 0
	for _, a := range s.slots {
		if a.prefillTokens == 0 {
			decoding++
			a.answerTokens -= s.engine.Stride
			continue
		}
		n := min(a.prefillTokens, budget)
		a.prefillTokens -= n
		budget -= n
		read += n
		if a.prefillTokens == 0 {
			first = append(first, a)
		}
	}
	return engine.PrefillTime(s.engine, read, 1) + time.Duration(s.engine.Stride)*engine.StepTime(s.engine, decoding+len(first)), first
}

// removeDone removes completed attempts and reports whether any work is left.
func (s *server) removeDone() bool {
	kept := s.slots[:0]
	for _, a := range s.slots {
		if a.prefillTokens > 0 || a.answerTokens > 0 {
			kept = append(kept, a)
		}
	}
	s.slots = kept
	return s.size() > 0
}
