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

// pipe hands what one end sends to a function at the other, in order.
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

func answer(parts int, size int) Handler {
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
		"whole": {handler: answer(3, 10), want: 30},
		"empty": {handler: answer(0, 0)},
		"refused": {handler: func(_ context.Context, _ *link.Request, resp *Responder) {
			_ = resp.End(link.End{Outcome: link.OutcomeNotRun})
		}, notRun: true},
		"broke off": {handler: func(_ context.Context, _ *link.Request, resp *Responder) {
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

// TestSlowReader: an answer that is not read holds at most a window back, and an answer beside it goes on.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sent := 0
		client := connect(t.Context(), func(ctx context.Context, req *link.Request, resp *Responder) {
			if req.Path == "/quick" {
				answer(1, 1)(ctx, req, resp)
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
			t.Errorf("the answer beside: %q, %v", body, err)
		}
		if body, err := readAll(t.Context(), slow); !errors.Is(err, io.EOF) || len(body) != 100*Window/8 {
			t.Errorf("read at last: %d bytes, %v", len(body), err)
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
			t.Errorf("error %v, want that the answer is lost", err)
		}
		var notRunErr *NotRunError
		if _, err := client.Do(t.Context(), link.Request{Deadline: time.Hour}, true); !errors.As(err, &notRunErr) {
			t.Errorf("error %v, want that nothing was handed over", err)
		}
	})
}

// TestCallerGone: the box is told, so that the engine stops; what comes late is dropped.
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
			t.Fatal("an answer without a head")
		}
		<-cancelled
		synctest.Wait()
		if n := client.InFlight(); n != 0 {
			t.Errorf("%d calls still counted", n)
		}
	})
}

// TestAbandon: of the calls at a silent box those that may be made again are given up, the others are not.
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
			begin := time.Now()
			_, err = call.Next(ctx)
			cancel()
			if givenUp := err != nil && time.Since(begin) == 0; givenUp != repeatable {
				t.Errorf("%s: given up %v", name, givenUp)
			}
		}
	})
}

// TestDeadline is for the beginning of an answer: a stream that has begun is not cut off.
func TestDeadline(t *testing.T) {
	for name, stream := range map[string]bool{"stream": true, "whole answer": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := connect(t.Context(), func(ctx context.Context, _ *link.Request, resp *Responder) {
					_ = resp.Head(link.Head{Status: 200})
					if stream {
						resp.Stream()
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
