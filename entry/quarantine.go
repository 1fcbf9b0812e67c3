package entry

import (
	"errors"
	"net/http"

	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/quarantine"
	"github.com/coralstair/coralstair/relay"
)

// A request under which upstreams end is handed to no more boxes: it would be tried at up to maxTurns of them each time it comes.
// Entries do not tell one another here, so that three upstreams end for each entry that it comes to.

// heldError says that upstreams have ended under a request.
type heldError struct{}

// Error says so.
func (*heldError) Error() string {
	return "upstreams have ended under this request; it is handed to no more"
}

// fingerprint tells the request when it comes again.
func (req *callerRequest) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(req.team.Name, req.method, req.service.Name, req.path, req.body)
}

// held reports whether the request goes to no more boxes.
func (t *turn) held() bool { return t.entry.quarantine.Held(t.req.fingerprint) }

// noteEnd notes that an upstream has ended under the request, if that is how it was lost.
func (t *turn) noteEnd(err error) {
	var lost *relay.LostError
	if errors.As(err, &lost) && lost.Ended != "" {
		t.entry.log.WithField("life", lost.Ended).WithField("request", t.req.id).Warn("entry: an upstream ended under a request")
		t.entry.quarantine.Ended(lost.Ended, []quarantine.Fingerprint{t.req.fingerprint()})
	}
}

// noteAnswered notes that the request was answered; while no upstream has ended there is nothing to explain.
func (t *turn) noteAnswered() {
	if q := t.entry.quarantine; !q.Empty() {
		q.Answered(t.req.fingerprint())
	}
}

func heldProblem(err *heldError, id string) problem.Problem {
	return notRun(http.StatusServiceUnavailable, "held", err.Error(), id).WithRetryAfter(quarantine.KeepTime)
}
