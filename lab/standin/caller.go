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

// Ask is one request of a caller.
type Ask struct {
	ID     string
	Host   string
	Path   string
	Key    string
	Model  string
	Prompt int
	Tokens int
	Wait   time.Duration
	// Body is what is sent; empty for a usual one.
	Body string
}

// Answer is what a caller got. Cut says that the connection ended before the answer did, Wrong what must not be.
type Answer struct {
	Status int
	Cut    error
	Wrong  string
	// Closes says that the connection takes no more requests.
	Closes bool
	// Back is when a refused caller is told to come back.
	Back string
}

// Whole reports whether the caller has the whole answer of a server.
func (a Answer) Whole() bool { return a.Status == http.StatusOK && a.Cut == nil && a.Wrong == "" }

// Refused reports whether the answer promises that the request has not run and never will.
func (a Answer) Refused() bool {
	switch a.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// Denied reports whether the answer says that the request is not allowed.
func (a Answer) Denied() bool {
	return a.Status == http.StatusUnauthorized || a.Status == http.StatusForbidden || a.Status == http.StatusNotFound
}

// DeadlyBody is what the body of a request begins with that ends each server that runs it.
const DeadlyBody = "deadly"

// askBody is what a caller sends: net/http would repeat a request without a body by itself.
const askBody = `{"soak":true}`

// Send makes the request and checks its answer.
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

// request returns the request as it goes to an entry.
func (a Ask) request(ctx context.Context, entry string) (*http.Request, error) {
	body := cmp.Or(a.Body, askBody)
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

// check reads an answer and says what is wrong with it.
func (a Ask) check(resp *http.Response) Answer {
	answer := Answer{Status: resp.StatusCode, Back: resp.Header.Get("Retry-After"), Closes: resp.Close}
	if id := resp.Header.Get("X-Request-Id"); id != a.ID {
		answer.Wrong = fmt.Sprintf("an answer to %q", id)
		return answer
	}
	server, ok := a.seal(resp, &answer)
	switch {
	case answer.Wrong != "" || !ok:
		_, _ = io.Copy(io.Discard, resp.Body)
	case a.Model != "" && resp.StatusCode == http.StatusOK:
		a.events(resp, &answer)
	default:
		body, err := io.ReadAll(resp.Body)
		answer.Cut = err
		if err == nil && string(body) != Body(a.ID, server) {
			answer.Wrong = "not the server's whole body"
		}
	}
	return answer
}

// seal checks the seal of an answer and returns its server; ok is false where there is none.
func (a Ask) seal(resp *http.Response, answer *Answer) (server string, ok bool) {
	seal := resp.Header.Get("X-Server-Seal")
	if seal == "" {
		if resp.StatusCode/100 == 2 {
			answer.Wrong = "a success without a seal"
		}
		return "", false
	}
	server, _, _ = strings.Cut(seal, ".")
	if seal != Seal(server, a.ID, resp.StatusCode) {
		answer.Wrong = fmt.Sprintf("status %d under the seal %s", resp.StatusCode, seal)
	}
	return server, true
}

// events reads a stream and checks that each event comes once, in order, and from one version.
func (a Ask) events(resp *http.Response, answer *Answer) {
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
		if want := fmt.Sprintf("id: %d\ndata: %s\n\n", n, Event(version, a.ID, n)); event != want {
			answer.Wrong = fmt.Sprintf("event %d of version %d is %q", n, version, event)
			return
		}
	}
	if n != Events(a.Tokens) {
		answer.Wrong = fmt.Sprintf("the stream ends as whole after %d of %d events", n, Events(a.Tokens))
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
