package forward

import (
	"net/http"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/pushback"
)

// RequestInfo holds what the head of a caller's request says.
type RequestInfo struct {
	ID  string
	Key string
	// Timeout is how long the caller waits; 0 if unset.
	Timeout time.Duration
	Model   string
	// PromptTokens is the length of the prompt and MaxAnswerTokens the limit of the answer; 0 if unset.
	PromptTokens    int
	MaxAnswerTokens int
	// AnswerTokensHint is the caller's estimate of the answer's length; 0 if unset.
	AnswerTokensHint int
	// LastEvent is the ID of the last stream event that the caller has.
	LastEvent string
}

// answerTokens returns the best estimate of the answer's length in tokens; 0 if there is none.
func (r RequestInfo) answerTokens() int {
	if r.AnswerTokensHint > 0 && (r.MaxAnswerTokens == 0 || r.AnswerTokensHint < r.MaxAnswerTokens) {
		return r.AnswerTokensHint
	}
	return r.MaxAnswerTokens
}

// AttemptInfo holds what an attempt sends the server in addition to the caller's request.
type AttemptInfo struct {
	TimeLeft time.Duration
	Server   string
	Team     string
	// Version is the version that the server must run; 0 for any.
	Version   contract.Version
	Priority  int
	LastEvent string
}

// ResponseInfo holds what the head of a server's response says.
type ResponseInfo struct {
	ID     string
	Sealed bool
	// NotRun is set if the server did not run the request and never will.
	NotRun  bool
	Version contract.Version
	// KeepAlive is how long the server keeps the connection open while idle; 0 if unset.
	KeepAlive time.Duration
	// ColdLeft is how much longer the server stays cold; 0 if it is not, or did not say.
	ColdLeft time.Duration
	// Pushback is the server's signal to its callers.
	Pushback pushback.Signal
}

// Wire translates between the headers of callers and servers and the types of this package.
type Wire interface {
	ParseRequest(r *http.Request) RequestInfo
	// SharedParts returns the IDs of the parts of the prompt that other requests may have too, in order.
	SharedParts(header http.Header) []string
	// SetRequestHeaders sets the headers of an attempt in a copy of the caller's header, and removes those that servers must not see.
	SetRequestHeaders(header http.Header, info AttemptInfo)
	ParseResponse(resp *http.Response) ResponseInfo
	// SetHealthHeaders sets the headers of a health check that only the server with an id is to answer.
	SetHealthHeaders(header http.Header, server string)
	// ParseHealth returns the id of the server that answered a health check; empty if the response does not tell.
	ParseHealth(resp *http.Response) (server string)
	// SetRefusalHeaders sets the headers of the entry's own response; after is the Retry-After, 0 for none.
	SetRefusalHeaders(header http.Header, id string, after time.Duration)
	// EventVersion returns the version that a stream event announces; ok is false if it announces none.
	EventVersion(event []byte) (version contract.Version, ok bool)
}
