package forward

import (
	"net/http"
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/pushback"
)

// Ask holds what the head of a caller's request says.
type Ask struct {
	ID  string
	Key string
	// Timeout is how long the caller waits; 0 if unset.
	Wait  time.Duration
	Model string
	// PromptTokens is the length of the prompt and MaxAnswerTokens the limit of the answer; 0 if unset.
	Prompt int
	Answer int
	// AnswerTokensHint is the caller's estimate of the answer's length; 0 if unset.
	Hint int
	// LastEvent is the ID of the last stream event that the caller has.
	LastEvent string
}

// answer returns the best estimate of the answer's length in tokens; 0 if there is none.
func (a Ask) answer() int {
	if a.Hint > 0 && (a.Answer == 0 || a.Hint < a.Answer) {
		return a.Hint
	}
	return a.Answer
}

// Send holds what an attempt tells the server in addition to the caller's request.
type Send struct {
	Left   time.Duration
	Server string
	Team   string
	// Version is the version that the server must run; 0 for any.
	Version   contract.Version
	Priority  int
	LastEvent string
}

// Reply holds what the head of a server's response says.
type Reply struct {
	ID     string
	Sealed bool
	// NotRun is set if the server did not run the request and never will.
	NotRun  bool
	Version contract.Version
	// KeepAlive is how long the server keeps the connection open while idle; 0 if unset.
	KeepAlive time.Duration
	// Pushback is the server's signal to its callers.
	Pushback pushback.Word
}

// Wire translates between the headers of callers and servers and the types of this package.
type Wire interface {
	Ask(r *http.Request) Ask
	// SetRequestHeaders sets the headers of an attempt in a copy of the caller's header, and removes those that servers must not see.
	Outgoing(header http.Header, info Send)
	Reply(resp *http.Response) Reply
	// SetRefusalHeaders sets the headers of the entry's own response; after is the Retry-After, 0 for none.
	Refused(header http.Header, id string, after time.Duration)
	// EventVersion returns the version that a stream event announces; ok is false if it announces none.
	EventVersion(event []byte) (version contract.Version, ok bool)
}
