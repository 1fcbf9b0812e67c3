package standin

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one request of a test caller.
type Request struct {
	ID           string
	Host         string
	Path         string
	Key          string
	Model        string
	PromptTokens int
	AnswerTokens int
	Timeout      time.Duration
	// Body is the request body; empty means defaultBody.
	Body string
	// Parts are the IDs of the parts of the prompt, in order; the last is the request's own.
	Parts []string
	// ReadDelay is the pause before each event of a stream is read; 0 for none.
	ReadDelay time.Duration
}

// Response is what a caller received: Err is the error that ended the response early, Violation describes an invalid response.
type Response struct {
	Status    int
	Err       error
	Violation string
	// ConnectionClose reports that the server closes the connection after this response.
	ConnectionClose bool
	RetryAfter      string
}

// Complete reports whether the response is a complete and valid success.
func (r Response) Complete() bool {
	return r.Status == http.StatusOK && r.Err == nil && r.Violation == ""
}

// Refused reports whether the status guarantees that the request did not run and never will.
func (r Response) Refused() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Denied reports whether the status says that the request is not allowed.
func (r Response) Denied() bool {
	return r.Status == http.StatusUnauthorized || r.Status == http.StatusForbidden || r.Status == http.StatusNotFound
}

// CrashBody is the prefix of a request body that crashes every server that runs the request.
const CrashBody = "deadly"

// CrashPart is the prefix of the ID of a prompt part that crashes every server that begins to respond to the prompt.
const CrashPart = "dead"

// partTokens is the length in tokens that callers state of each part of a prompt.
const partTokens = 20

const partsHeader = "X-Prompt-Prefix"

// defaultBody is not empty because net/http retries requests without a body.
const defaultBody = `{"soak":true}`

// Send sends the request to an entry and validates the response.
func (r Request) Send(ctx context.Context, client *http.Client, entry string) Response {
	req, err := r.request(ctx, entry)
	if err != nil {
		return Response{Err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return r.check(resp)
}

func (r Request) request(ctx context.Context, entry string) (*http.Request, error) {
	body := cmp.Or(r.Body, defaultBody)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+r.Path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Host = r.Host
	r.SetRequestHeaders(req.Header)
	if r.Model != "" {
		req.Header.Set("X-Model", r.Model)
		req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", r.PromptTokens, r.AnswerTokens))
	}
	if len(r.Parts) > 0 {
		req.Header.Set(partsHeader, strings.Join(r.Parts, fmt.Sprintf(":%d,", partTokens))+fmt.Sprintf(":%d", partTokens))
	}
	return req, nil
}

// check reads and validates a response.
func (r Request) check(resp *http.Response) Response {
	result := Response{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After"), ConnectionClose: resp.Close}
	if id := resp.Header.Get("X-Request-Id"); id != r.ID {
		result.Violation = fmt.Sprintf("a response to request %q", id)
		return result
	}
	server, ok := r.checkSeal(resp, &result)
	switch {
	case result.Violation != "" || !ok:
		_, _ = io.Copy(io.Discard, resp.Body)
	case r.Model != "" && resp.StatusCode == http.StatusOK:
		r.checkStream(resp, &result)
	default:
		body, err := io.ReadAll(resp.Body)
		result.Err = err
		if err == nil && string(body) != PlainBody(r.ID, server) {
			result.Violation = "the body is not the complete body of the server"
		}
	}
	return result
}

// checkSeal validates the seal of a response and returns its server; ok is false without a seal.
func (r Request) checkSeal(resp *http.Response, result *Response) (server string, ok bool) {
	seal := resp.Header.Get("X-Server-Seal")
	if seal == "" {
		if resp.StatusCode/100 == 2 {
			result.Violation = "a success response without a seal"
		}
		return "", false
	}
	server, _, _ = strings.Cut(seal, ".")
	if seal != Seal(server, r.ID, resp.StatusCode) {
		result.Violation = fmt.Sprintf("status %d with seal %s", resp.StatusCode, seal)
	}
	return server, true
}

// checkStream reads a stream and checks that each event comes once, in order and from one version.
func (r Request) checkStream(resp *http.Response, result *Response) {
	version, _ := strconv.ParseInt(resp.Header.Get("X-Weight-Versions"), 10, 64)
	reader := bufio.NewReader(resp.Body)
	n := 0
	for {
		time.Sleep(r.ReadDelay)
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && event == "" {
			break
		}
		if err != nil {
			result.Err = err
			return
		}
		n++
		if want := fmt.Sprintf("id: %d\ndata: %s\n\n", n, EventData(version, r.ID, n)); event != want {
			result.Violation = fmt.Sprintf("event %d of version %d is %q", n, version, event)
			return
		}
	}
	if n != EventCount(r.AnswerTokens) {
		result.Violation = fmt.Sprintf("the stream ended without an error after %d of %d events", n, EventCount(r.AnswerTokens))
	}
}

func readEvent(r *bufio.Reader) (string, error) {
	var event bytes.Buffer
	for {
		line, err := r.ReadString('\n')
		event.WriteString(line)
		if err != nil {
			return event.String(), err
		}
		if line == "\n" {
			return event.String(), nil
		}
	}
}
