package lab

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/coralstair/coralstair/stricthttp"
)

var defaultClient = stricthttp.NewClient()

// Caller sends requests to an entry and checks that each answer is complete, from one version and for its own request.
type Caller struct {
	URL  string
	Key  string
	HTTP *http.Client
}

// Answer is the response to a caller's request.
type Answer struct {
	Status  int
	Box     string
	Version string
	Outcome string
	// Digest is the weights digest reported by the engine.
	Digest           string
	Tokens           int
	TimeToFirstToken time.Duration
	Text             string
	// Problem is the detail of the entry's error response, if any.
	Problem string
}

// WrongAnswerError reports an answer that does not match the request and the weights.
type WrongAnswerError struct{ Reason string }

// Error returns the message with the reason.
func (e *WrongAnswerError) Error() string { return "wrong answer: " + e.Reason }

// TruncatedAnswerError reports an answer that ended before it was complete.
type TruncatedAnswerError struct{ Reason string }

// Error returns the message with the reason.
func (e *TruncatedAnswerError) Error() string { return "truncated answer: " + e.Reason }

func isWrongAnswer(err error) bool {
	var wrong *WrongAnswerError
	return errors.As(err, &wrong)
}

// ChatCall is one chat request.
type ChatCall struct {
	Service        string
	Prompt         string
	MaxTokens      int
	Stream         bool
	ID             string
	IdempotencyKey string
	Timeout        time.Duration
}

// Chat sends a chat request. A wrong or truncated answer is an error; a refusal is an answer with its status.
func (c *Caller) Chat(ctx context.Context, call ChatCall) (Answer, error) {
	body, err := json.Marshal(ChatRequest{
		Model: call.Service, Stream: call.Stream, MaxTokens: call.MaxTokens,
		Messages: []ChatMessage{{Role: "user", Content: call.Prompt}},
	})
	if err != nil {
		return Answer{}, err
	}
	begin := time.Now()
	resp, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", body, call)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer := newAnswer(resp)
	if resp.StatusCode != http.StatusOK {
		return answer, nil
	}
	if call.Stream {
		err = answer.readStream(resp.Body, begin)
	} else {
		err = answer.readComplete(resp.Body, begin)
	}
	if err != nil {
		return answer, err
	}
	return answer, answer.check(call)
}

// Plain sends a POST request to a plain service and checks that the response echoes it.
func (c *Caller) Plain(ctx context.Context, service, path string, body []byte, call ChatCall) (Answer, error) {
	resp, err := c.send(ctx, http.MethodPost, "/services/"+service+path, body, call)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer := newAnswer(resp)
	if resp.StatusCode != http.StatusOK {
		return answer, nil
	}
	var plain PlainAnswer
	if err := json.NewDecoder(resp.Body).Decode(&plain); err != nil {
		return answer, &TruncatedAnswerError{Reason: err.Error()}
	}
	if plain.Request != call.ID || plain.Echo != string(body) {
		return answer, &WrongAnswerError{Reason: fmt.Sprintf("asked %s %q, got %s %q", call.ID, body, plain.Request, plain.Echo)}
	}
	return answer, nil
}

func (c *Caller) send(ctx context.Context, method, path string, body []byte, call ChatCall) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", "application/json")
	if call.ID != "" {
		req.Header.Set("X-Request-Id", call.ID)
	}
	if call.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	if call.Timeout > 0 {
		req.Header.Set("X-Request-Timeout", call.Timeout.String())
	}
	client := c.HTTP
	if client == nil {
		client = defaultClient
	}
	return client.Do(req)
}

// check compares the text with the tokens expected for the prompt and the weights digest.
func (a *Answer) check(call ChatCall) error {
	var want strings.Builder
	for i := range call.MaxTokens {
		want.WriteString(Token(a.Digest, call.Prompt, i))
	}
	if a.Text != want.String() {
		return &WrongAnswerError{Reason: fmt.Sprintf("the text is not what weights %s give for the prompt", a.Digest)}
	}
	return nil
}

func (a *Answer) readStream(body io.Reader, begin time.Time) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			return &TruncatedAnswerError{Reason: "the entry sent an error event"}
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Text = text.String()
			return nil
		}
		if a.TimeToFirstToken == 0 {
			a.TimeToFirstToken = time.Since(begin)
		}
		var chunk ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
			return &WrongAnswerError{Reason: "event is not a chunk: " + data}
		}
		if a.Digest != "" && a.Digest != chunk.Fingerprint {
			return &WrongAnswerError{Reason: "tokens of two versions in one answer"}
		}
		a.Digest = chunk.Fingerprint
		a.Tokens++
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return &TruncatedAnswerError{Reason: "the stream ended without [DONE]"}
}

func (a *Answer) readComplete(body io.Reader, begin time.Time) error {
	var chunk ChatChunk
	if err := json.NewDecoder(body).Decode(&chunk); err != nil {
		return &TruncatedAnswerError{Reason: err.Error()}
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Message == nil {
		return &WrongAnswerError{Reason: "the answer has no message"}
	}
	a.TimeToFirstToken = time.Since(begin)
	a.Digest = chunk.Fingerprint
	a.Text = chunk.Choices[0].Message.Content
	return nil
}

func newAnswer(resp *http.Response) Answer {
	answer := Answer{
		Status: resp.StatusCode, Box: resp.Header.Get("X-Coralstair-Box"),
		Version: resp.Header.Get("X-Coralstair-Version"), Outcome: resp.Header.Get("X-Coralstair-Outcome"),
	}
	if resp.StatusCode == http.StatusOK {
		return answer
	}
	var body struct {
		Detail  string `json:"detail"`
		Outcome string `json:"outcome"`
	}
	if json.NewDecoder(resp.Body).Decode(&body) == nil {
		answer.Problem, answer.Outcome = body.Detail, body.Outcome
	}
	return answer
}
