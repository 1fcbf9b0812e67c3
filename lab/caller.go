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
)

// Caller sends requests to an entry and checks that each answer is whole, of one version and its own.
type Caller struct {
	URL  string
	Key  string
	HTTP *http.Client
}

// Answer is what a caller got.
type Answer struct {
	Status  int
	Box     string
	Version string
	Outcome string
	// Digest is the whole weights that the engine says it answered from.
	Digest string
	Tokens int
	// First is the time to the first token.
	First time.Duration
	Text  string
	// Problem is the error that the entry told, if it did.
	Problem string
}

// WrongAnswerError says that an answer was not what the request and the weights give.
type WrongAnswerError struct{ Reason string }

// Error gives the reason.
func (e *WrongAnswerError) Error() string { return "wrong answer: " + e.Reason }

// CutAnswerError says that an answer ended before it was whole.
type CutAnswerError struct{ Reason string }

// Error gives the reason.
func (e *CutAnswerError) Error() string { return "answer cut off: " + e.Reason }

// isWrong reports whether an error says that an answer was wrong.
func isWrong(err error) bool {
	var wrong *WrongAnswerError
	return errors.As(err, &wrong)
}

// ChatCall is one chat request.
type ChatCall struct {
	Service string
	Prompt  string
	Tokens  int
	Stream  bool
	ID      string
	OnceKey string
	Timeout time.Duration
}

// Chat sends a chat request. An answer that is wrong or cut off is an error; a refusal is an answer with its status.
func (c *Caller) Chat(ctx context.Context, call ChatCall) (Answer, error) {
	body, err := json.Marshal(ChatRequest{
		Model: call.Service, Stream: call.Stream, MaxTokens: call.Tokens,
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
	answer := answerOf(resp)
	if resp.StatusCode != http.StatusOK {
		return answer, nil
	}
	if call.Stream {
		err = answer.readStream(resp.Body, begin)
	} else {
		err = answer.readWhole(resp.Body, begin)
	}
	if err != nil {
		return answer, err
	}
	return answer, answer.check(call)
}

// Plain sends a request to a plain service.
func (c *Caller) Plain(ctx context.Context, service, path string, body []byte, call ChatCall) (Answer, error) {
	resp, err := c.send(ctx, http.MethodPost, "/services/"+service+path, body, call)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer := answerOf(resp)
	if resp.StatusCode != http.StatusOK {
		return answer, nil
	}
	var plain PlainAnswer
	if err := json.NewDecoder(resp.Body).Decode(&plain); err != nil {
		return answer, &CutAnswerError{Reason: err.Error()}
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
	if call.OnceKey != "" {
		req.Header.Set("Idempotency-Key", call.OnceKey)
	}
	if call.Timeout > 0 {
		req.Header.Set("X-Request-Timeout", call.Timeout.String())
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	return client.Do(req)
}

// check compares an answer with what the request and the weights give.
func (a *Answer) check(call ChatCall) error {
	var want strings.Builder
	for i := range call.Tokens {
		want.WriteString(Token(a.Digest, call.Prompt, i))
	}
	if a.Text != want.String() {
		return &WrongAnswerError{Reason: fmt.Sprintf("the text is not that of %s to the prompt", a.Digest)}
	}
	return nil
}

func (a *Answer) readStream(body io.Reader, begin time.Time) error {
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if line == "event: error" {
			return &CutAnswerError{Reason: "the entry says so"}
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Text = text.String()
			return nil
		}
		if a.First == 0 {
			a.First = time.Since(begin)
		}
		var chunk ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
			return &WrongAnswerError{Reason: "an event is no chunk: " + data}
		}
		if a.Digest != "" && a.Digest != chunk.Fingerprint {
			return &WrongAnswerError{Reason: "two versions in one answer"}
		}
		a.Digest = chunk.Fingerprint
		a.Tokens++
		text.WriteString(chunk.Choices[0].Delta.Content)
	}
	return &CutAnswerError{Reason: "the stream ended without [DONE]"}
}

func (a *Answer) readWhole(body io.Reader, begin time.Time) error {
	var chunk ChatChunk
	if err := json.NewDecoder(body).Decode(&chunk); err != nil {
		return &CutAnswerError{Reason: err.Error()}
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].Message == nil {
		return &WrongAnswerError{Reason: "the answer holds no message"}
	}
	a.First = time.Since(begin)
	a.Digest = chunk.Fingerprint
	a.Text = chunk.Choices[0].Message.Content
	return nil
}

func answerOf(resp *http.Response) Answer {
	answer := Answer{
		Status: resp.StatusCode, Box: resp.Header.Get("X-Coralstair-Box"),
		Version: resp.Header.Get("X-Coralstair-Version"), Outcome: resp.Header.Get("X-Coralstair-Outcome"),
	}
	if resp.StatusCode == http.StatusOK {
		return answer
	}
	var told struct {
		Detail  string `json:"detail"`
		Outcome string `json:"outcome"`
	}
	if json.NewDecoder(resp.Body).Decode(&told) == nil {
		answer.Problem, answer.Outcome = told.Detail, told.Outcome
	}
	return answer
}
