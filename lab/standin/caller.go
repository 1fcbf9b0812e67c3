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

// Ask is one request of a test caller.
type Ask struct {
	ID     string
	Host   string
	Path   string
	Key    string
	Model  string
	Prompt int
	Tokens int
	Wait   time.Duration
	// Body is the request body; empty means defaultBody.
	Body string
}

// Answer is what a caller received: Cut is the error that ended the response early, Wrong describes an invalid response.
type Answer struct {
	Status int
	Cut    error
	Wrong  string
	// Closes reports that the server closes the connection after this response.
	Closes bool
	// Back is the Retry-After header.
	Back string
}

// Whole reports whether the response is a complete and valid success.
func (a Answer) Whole() bool { return a.Status == http.StatusOK && a.Cut == nil && a.Wrong == "" }

// Refused reports whether the status guarantees that the request did not run and never will.
func (a Answer) Refused() bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Denied reports whether the status says that the request is not allowed.
func (a Answer) Denied() bool {
	return a.Status == http.StatusUnauthorized || a.Status == http.StatusForbidden || a.Status == http.StatusNotFound
}

// DeadlyBody is the prefix of a request body that crashes every server that runs the request.
const DeadlyBody = "deadly"

// defaultBody is not empty because net/http retries requests without a body.
const defaultBody = `{"soak":true}`

// Send sends the request to an entry and validates the response.
func (a Ask) Send(ctx context.Context, client *http.Client, entry string) Answer {
	req, err := a.request(ctx, entry)
	if err != nil {
		return Answer{Cut: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Cut: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return a.check(resp)
}

func (a Ask) request(ctx context.Context, entry string) (*http.Request, error) {
	body := cmp.Or(a.Body, defaultBody)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+a.Path, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Host = a.Host
	req.Header.Set("X-Request-Id", a.ID)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(a.Wait.Milliseconds(), 10))
	if a.Key != "" {
		req.Header.Set("X-Key", a.Key)
	}
	if a.Model != "" {
		req.Header.Set("X-Model", a.Model)
		req.Header.Set("X-Token-Counts", fmt.Sprintf("%d,%d", a.Prompt, a.Tokens))
	}
	return req, nil
}

// check reads and validates a response.
func (a Ask) check(resp *http.Response) Answer {
	answer := Answer{Status: resp.StatusCode, Back: resp.Header.Get("Retry-After"), Closes: resp.Close}
	if id := resp.Header.Get("X-Request-Id"); id != a.ID {
		answer.Wrong = fmt.Sprintf("a response to request %q", id)
		return answer
	}
	server, ok := a.checkSeal(resp, &answer)
	switch {
	case answer.Wrong != "" || !ok:
		_, _ = io.Copy(io.Discard, resp.Body)
	case a.Model != "" && resp.StatusCode == http.StatusOK:
		a.checkStream(resp, &answer)
	default:
		body, err := io.ReadAll(resp.Body)
		answer.Cut = err
		if err == nil && string(body) != PlainBody(a.ID, server) {
			answer.Wrong = "the body is not the complete body of the server"
		}
	}
	return answer
}

// checkSeal validates the seal of a response and returns its server; ok is false without a seal.
func (a Ask) checkSeal(resp *http.Response, answer *Answer) (server string, ok bool) {
	seal := resp.Header.Get("X-Server-Seal")
	if seal == "" {
		if resp.StatusCode/100 == 2 {
			answer.Wrong = "a success response without a seal"
		}
		return "", false
	}
	server, _, _ = strings.Cut(seal, ".")
	if seal != Seal(server, a.ID, resp.StatusCode) {
		answer.Wrong = fmt.Sprintf("status %d with seal %s", resp.StatusCode, seal)
	}
	return server, true
}

// checkStream reads a stream and checks that each event comes once, in order and from one version.
func (a Ask) checkStream(resp *http.Response, answer *Answer) {
	version, _ := strconv.ParseInt(resp.Header.Get("X-Weight-Versions"), 10, 64)
	reader := bufio.NewReader(resp.Body)
	n := 0
	for {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && event == "" {
			break
		}
		if err != nil {
			answer.Cut = err
			return
		}
		n++
		if want := fmt.Sprintf("id: %d\ndata: %s\n\n", n, EventData(version, a.ID, n)); event != want {
			answer.Wrong = fmt.Sprintf("event %d of version %d is %q", n, version, event)
			return
		}
	}
	if n != EventCount(a.Tokens) {
		answer.Wrong = fmt.Sprintf("the stream ended without an error after %d of %d events", n, EventCount(a.Tokens))
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
