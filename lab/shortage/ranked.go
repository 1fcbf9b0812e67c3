package shortage

import (
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// ranked chooses a server and admits by the load that goes before a request of its rank, as entries do where ranks differ.
type ranked struct{ spreadChoice }

func (s *ranked) request(e *contract.Engine, c *caller) admission.Request {
	return admission.Request{Route: c.kind.Name, Goal: c.kind.Goal, Rank: c.kind.Rank, NoWait: engine.NoWait(e)}
}

func (s *ranked) choose(e *contract.Engine, v view, c *caller) placement {
	standing := s.policy.Standing(s.request(e, c))
	// Of its own attempts the entry knows which ones the request overtakes, of those of other entries only the fraction.
	ahead := make([]engine.Load, len(v.loads))
	for i, load := range v.loads {
		load.Overtaken = standing.Overtaken
		requests := standing.Overtakes * float64(max(load.Prefilling-len(v.pending[i]), 0))
		tokens := requests * float64(e.UsualPrompt)
		for _, a := range v.pending[i] {
			if a.rank > standing.Rank {
				requests++
				tokens += float64(a.prefillTokens)
			}
		}
		ahead[i] = load.WithoutOvertaken(e, min(requests, float64(load.Prefilling)), min(tokens, float64(load.PrefillTokens)))
	}
	p := s.chooseAhead(e, v.loads, ahead, c, standing.Overtakes)
	p.rank = standing.Rank
	return p
}

func (s *ranked) admit(e *contract.Engine, c *caller, p placement, now time.Duration) bool {
	request, waited := s.request(e, c), time.Duration(0)
	if c.retried {
		waited = now - c.firstTry
	}
	s.policy.Record(request, startTime.Add(now))
	return s.policy.Admit(request, waited, p.queueDelay(e, c.prompt))
}
