package entry

import (
	"errors"
	"net/http"

	"github.com/coralstair/coralstair/problem"
	"github.com/coralstair/coralstair/quarantine"
	"github.com/coralstair/coralstair/relay"
)

// A request that makes upstreams exit is quarantined; otherwise each try by its caller could end up to maxAttempts of them. Entries do
// not share these records, so each entry that receives the request reaches the threshold on its own.

// quarantinedError reports that a request is quarantined.
type quarantinedError struct{}

// Error returns the message.
func (*quarantinedError) Error() string {
	return "the request is quarantined: upstreams have exited while running it"
}

// fingerprint identifies retries of the request.
func (req *callerRequest) fingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(req.team.Name, req.method, req.service.Name, req.path, req.body)
}

func (t *task) quarantined() bool { return t.entry.quarantine.Held(t.req.fingerprint) }

// recordExit records an upstream's exit if that is why the request was lost.
func (t *task) recordExit(err error) {
	var lost *relay.LostError
	if errors.As(err, &lost) && lost.EndedIncarnation != "" {
		t.entry.log.WithField("life", lost.EndedIncarnation).WithField("request", t.req.id).Warn("entry: an upstream ended under a request")
		t.entry.quarantine.RecordExit(lost.EndedIncarnation, []quarantine.Fingerprint{t.req.fingerprint()})
	}
}

// recordResponse records that the request got a response, if any exits are recorded.
func (t *task) recordResponse() {
	if q := t.entry.quarantine; !q.Empty() {
		q.RecordResponse(t.req.fingerprint())
	}
}

func quarantinedProblem(err *quarantinedError, id string) problem.Problem {
	return notRun(http.StatusServiceUnavailable, "held", err.Error(), id).WithRetryAfter(quarantine.Retention)
}
