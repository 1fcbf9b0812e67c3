package forward

import (
	"time"

	"github.com/coralstair/coralstair/admission"
	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/engine"
)

// forecast predicts the room at the servers of a service that may get a request with these homes, by their boxes' reports.
func (e *Entry) forecast(service *contract.Service, homes contract.Homes, now time.Time) admission.Forecast {
	model, _ := service.Engine.Model()
	want := requirements{
		service: service, model: model.Name, promptTokens: service.Engine.UsualPrompt, homes: homes, entries: e.limitSharers(),
	}
	slots := service.Engine.Slots
	full, half := engine.Load{Decoding: slots}, engine.Load{Decoding: slots / 2}
	f := admission.Forecast{
		SlotTime: max(engine.SlotTime(service.Engine, full), time.Millisecond),
		First:    engine.TimeToFirstEvent(service.Engine, half, service.Engine.UsualPrompt),
	}
	for _, up := range e.preferredFor(service.Name, homes) {
		if c, ejectedUntil, fits := e.evaluate(up, want, now); fits && !now.Before(ejectedUntil) {
			f.Openings = append(f.Openings, admission.Opening{Slots: slots, Free: max(slots-c.load.Decoding-c.load.Prefilling, 0), Share: up.share(want.entries)})
		} else if in, known := up.readyIn(now); known && !fits {
			f.Openings = append(f.Openings, admission.Opening{In: max(in, time.Millisecond), Slots: slots, Free: slots, Share: up.share(want.entries)})
		}
	}
	return f
}

// readyIn returns the time until the server is predicted to run its target version; known is false without a prediction.
func (u *upstream) readyIn(now time.Time) (in time.Duration, known bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	age := now.Sub(u.reportAt)
	if age >= reportTTL || u.report.ReadyIn <= 0 || u.isLeaving() {
		return 0, false
	}
	return max(u.report.ReadyIn-age, 0), true
}

// share returns this entry's part of the server's room.
func (u *upstream) share(entries int) float64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.limitShare(entries)
}

// restOfAnswer returns how long the call's answer takes after its first event at a full server. Where the caller does not say how long it
// becomes, it may exceed the usual length by leaveFactor, up to the caller's limit.
func (c *call) restOfAnswer() time.Duration {
	tokens := c.info.answerTokens()
	if tokens == 0 {
		tokens = leaveFactor * c.service.Engine.UsualAnswer
		if c.info.MaxAnswerTokens > 0 {
			tokens = min(tokens, c.info.MaxAnswerTokens)
		}
	}
	return engine.DecodeTime(c.service.Engine, engine.Load{Decoding: c.service.Engine.Slots}, tokens)
}
