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
func (a Response) Complete() bool {
	return a.Status == http.StatusOK && a.Err == nil && a.Violation == ""
}

// Refused reports whether the status guarantees that the request did not run and never will.
func (a Response) Refused() bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Denied reports whether the status says that the request is not allowed.
func (a Response) Denied() bool {
	return a.Status == http.StatusUnauthorized || a.Status == http.StatusForbidden || a.Status == http.StatusNotFound
}

// CrashBody is the prefix of a request body that crashes every server that runs the request.
const CrashBody = "deadly"

// defaultBody is not empty because net/http retries requests without a body.
const defaultBody = `{"soak":true}`

// Send sends the request to an entry and validates the response.
func (a Request) Send(ctx context.Context, client *http.Client, entry string) Response {
	req, err := a.request(ctx, entry)
	if err != nil {
		return Response{Err: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return a.check(resp)
}

func (a Request) request(ctx context.Context, entry string) (*http.Request, error) {
	body := cmp.Or(a.Body, defaultBody)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+a.Path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Host = a.Host
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(a.Timeout.Milliseconds(), 10))
	if a.Key != "" {
		req.Header.Set("X-Key", a.Key)
	}
	if a.Model != "" {
		req.Header.Set("X-Model", a.Model)
		req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", a.PromptTokens, a.AnswerTokens))
	}
	return req, nil
}

// check reads and validates a response.
func (a Request) check(resp *http.Response) Response {
	answer := Response{Status: resp.StatusCode, RetryAfter: resp.Header.Get("Retry-After"), ConnectionClose: resp.Close}
	if id := resp.Header.Get("X-Request-Id"); id != a.ID {
		answer.Violation = fmt.Sprintf("a response to request %q", id)
		return answer
	}
	server, ok := a.checkSeal(resp, &answer)
	switch {
	case answer.Violation != "" || !ok:
		_, _ = io.Copy(io.Discard, resp.Body)
	case a.Model != "" && resp.StatusCode == http.StatusOK:
		a.checkStream(resp, &answer)
	default:
		body, err := io.ReadAll(resp.Body)
		answer.Err = err
		if err == nil && string(body) != PlainBody(a.ID, server) {
			answer.Violation = "the body is not the complete body of the server"
		}
	}
	return answer
}

// checkSeal validates the seal of a response and returns its server; ok is false without a seal.
func (a Request) checkSeal(resp *http.Response, answer *Response) (server string, ok bool) {
	seal := resp.Header.Get("X-Server-Seal")
	if seal == "" {
		if resp.StatusCode/100 == 2 {
			answer.Violation = "a success response without a seal"
		}
		return "", false
	}
	server, _, _ = strings.Cut(seal, ".")
	if seal != Seal(server, a.ID, resp.StatusCode) {
		answer.Violation = fmt.Sprintf("status %d with seal %s", resp.StatusCode, seal)
	}
	return server, true
}

// checkStream reads a stream and checks that each event comes once, in order and from one version.
func (a Request) checkStream(resp *http.Response, answer *Response) {
	version, _ := strconv.ParseInt(resp.Header.Get("X-Weight-Versions"), 10, 64)
	reader := bufio.NewReader(resp.Body)
	n := 0
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && event == "" {
			break
		}
		if err != nil {
			answer.Err = err
			return
		}
		n++
		if want := fmt.Sprintf("id: %d\ndata: %s\n\n", n, EventData(version, a.ID, n)); event != want {
			answer.Violation = fmt.Sprintf("event %d of version %d is %q", n, version, event)
			return
		}
	}
	if n != EventCount(a.AnswerTokens) {
		answer.Violation = fmt.Sprintf("the stream ended without an error after %d of %d events", n, EventCount(a.AnswerTokens))
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
