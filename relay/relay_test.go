package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coralstair/coralstair/link"
)

// pipe passes the messages of one end to a handler at the other, in order.
type pipe struct{ messages chan link.Message }

func newPipe(ctx context.Context, handle func(link.Message)) *pipe {
	p := &pipe{messages: make(chan link.Message, 1000)}
	go func() {
		for {
			select {
			case msg := <-p.messages:
				handle(msg)
			case <-ctx.Done():
				return
			}
		}
	}()
	return p
}

func (p *pipe) Send(ctx context.Context, msg link.Message) error {
	select {
	case p.messages <- msg:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func connect(ctx context.Context, handler Handler) *Client {
	var client *Client
	toClient := newPipe(ctx, func(msg link.Message) { client.Handle(msg) })
	server := NewServer(ctx, toClient, handler)
	client = NewClient(ctx, newPipe(ctx, server.Handle))
	return client
}

func readAll(ctx context.Context, call *Call) ([]byte, error) {
	var body []byte
	for {
		part, err := call.Next(ctx)
		body = append(body, part...)
		if err != nil {
			return body, err
		}
	}
}

func respond(parts int, size int) Handler {
	return func(_ context.Context, req *link.Request, resp *Responder) {
		_ = resp.Head(link.Head{Status: 200})
		for range parts {
			if resp.Data(bytes.Repeat(req.Body, size)) != nil {
				_ = resp.End(link.End{Outcome: link.OutcomeUnknown, Reason: "not read"})
				return
			}
		}
		_ = resp.End(link.End{Outcome: link.OutcomeRan})
	}
}

func TestAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		handler Handler
		want    int
		notRun  bool
		lost    bool
	}{
		"complete": {handler: respond(3, 10), want: 30},
		"empty":    {handler: respond(0, 0)},
		"refused": {handler: func(_ context.Context, _ *link.Request, resp *Responder) {
			_ = resp.End(link.End{Outcome: link.OutcomeNotRun})
		}, notRun: true},
		"interrupted": {handler: func(_ context.Context, _ *link.Request, resp *Responder) {
			_ = resp.End(link.End{Outcome: link.OutcomeUnknown})
		}, lost: true},
		"no head": {handler: func(_ context.Context, _ *link.Request, resp *Responder) {
			_ = resp.End(link.End{Outcome: link.OutcomeRan})
		}, lost: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := connect(t.Context(), tc.handler)
				call, err := client.Do(t.Context(), link.Request{Body: []byte("x"), Deadline: time.Minute}, true)
				var notRunErr *NotRunError
				var lostErr *LostError
				if errors.As(err, &notRunErr) != tc.notRun || errors.As(err, &lostErr) != tc.lost {
					t.Fatalf("error %v", err)
				}
				if err != nil {
					return
				}
				body, err := readAll(t.Context(), call)
				if !errors.Is(err, io.EOF) || len(body) != tc.want {
					t.Errorf("%d bytes, %v; want %d", len(body), err, tc.want)
				}
			})
		})
	}
}

// TestSlowReader checks that an unread response buffers at most a window and does not block another response.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		client := connect(t.Context(), func(ctx context.Context, req *link.Request, resp *Responder) {
			if req.Path == "/quick" {
				respond(1, 1)(ctx, req, resp)
				return
			}
			_ = resp.Head(link.Head{Status: 200})
			for range 100 {
				if resp.Data(make([]byte, Window/8)) != nil {
					return
				}
				sent++
			}
			_ = resp.End(link.End{Outcome: link.OutcomeRan})
		})
		slow, err := client.Do(t.Context(), link.Request{Deadline: time.Hour}, true)
		if err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if sent > 9 {
			t.Errorf("%d parts sent without being read, a window holds 8", sent)
		}
		quick, err := client.Do(t.Context(), link.Request{Path: "/quick", Body: []byte("x"), Deadline: time.Hour}, true)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := readAll(t.Context(), quick); !errors.Is(err, io.EOF) || len(body) != 1 {
			t.Errorf("the other response: %q, %v", body, err)
		}
		if body, err := readAll(t.Context(), slow); !errors.Is(err, io.EOF) || len(body) != 100*Window/8 {
			t.Errorf("the slow response: %d bytes, %v", len(body), err)
		}
	})
}

func TestLinkEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := connect(t.Context(), func(ctx context.Context, _ *link.Request, resp *Responder) {
			_ = resp.Head(link.Head{Status: 200})
			<-ctx.Done()
		})
		call, err := client.Do(t.Context(), link.Request{Deadline: time.Hour}, true)
		if err != nil {
			t.Fatal(err)
		}
		client.Close(io.ErrUnexpectedEOF)
		var lost *LostError
		if _, err := call.Next(t.Context()); !errors.As(err, &lost) {
			t.Errorf("error %v, want a LostError", err)
		}
		var notRunErr *NotRunError
		if _, err := client.Do(t.Context(), link.Request{Deadline: time.Hour}, true); !errors.As(err, &notRunErr) {
			t.Errorf("error %v, want a NotRunError", err)
		}
	})
}

// TestCallerGone checks that a request is cancelled at the box when the caller's context ends, and late messages are dropped.
func TestCallerGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cancelled := make(chan struct{})
		client := connect(t.Context(), func(ctx context.Context, _ *link.Request, resp *Responder) {
			<-ctx.Done()
			close(cancelled)
			_ = resp.End(link.End{Outcome: link.OutcomeUnknown})
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := client.Do(ctx, link.Request{Deadline: time.Hour}, true); err == nil {
			t.Fatal("the call succeeded without a head")
		}
		<-cancelled
		synctest.Wait()
		if n := client.InFlight(); n != 0 {
			t.Errorf("%d calls in flight, want 0", n)
		}
	})
}

// TestAbandon checks that only repeatable calls are abandoned.
func TestAbandon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := connect(t.Context(), func(ctx context.Context, _ *link.Request, resp *Responder) {
			_ = resp.Head(link.Head{Status: 200})
			<-ctx.Done()
		})
		for name, repeatable := range map[string]bool{"repeatable": true, "once": false} {
			call, err := client.Do(t.Context(), link.Request{Deadline: time.Hour}, repeatable)
			if err != nil {
				t.Fatal(err)
			}
			client.Abandon()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			start := time.Now()
			_, err = call.Next(ctx)
			cancel()
			if abandoned := err != nil && time.Since(start) == 0; abandoned != repeatable {
				t.Errorf("%s: abandoned %v", name, abandoned)
			}
		}
	})
}

// TestDeadline checks that the deadline does not cut off a stream that has started.
func TestDeadline(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "plain response": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := connect(t.Context(), func(ctx context.Context, _ *link.Request, resp *Responder) {
					_ = resp.Head(link.Head{Status: 200})
					if stream {
						resp.ClearDeadline()
					}
					select {
					case <-time.After(time.Minute):
						_ = resp.End(link.End{Outcome: link.OutcomeRan})
					case <-ctx.Done():
						_ = resp.End(link.End{Outcome: link.OutcomeUnknown})
					}
				})
				call, err := client.Do(t.Context(), link.Request{Deadline: time.Second}, true)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := readAll(t.Context(), call); errors.Is(err, io.EOF) != stream {
					t.Errorf("ended with %v", err)
				}
			})
		})
	}
}

// TestRefusalTellsWhenItCame guards against a box that counts as not heard since it refused a request, although it reopened before the
// request's goroutine ran again.
func TestRefusalTellsWhenItCame(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient(t.Context(), newPipe(t.Context(), func(link.Message) {}))
		call := newCall(client, 1)
		client.add(call)
		came := time.Now()
		client.Handle(&link.End{ID: 1, Outcome: link.OutcomeNotRun, Reason: "closed"})
		time.Sleep(time.Second)
		var notRun *NotRunError
		if err := call.awaitHead(t.Context()); !errors.As(err, &notRun) || !notRun.At.Equal(came) {
			t.Errorf("%v, refused at %v, want %v", err, notRun, came)
		}
	})
}
