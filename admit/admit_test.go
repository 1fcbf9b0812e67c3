package admit

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

func TestQueueOrder(t *testing.T) {
	at := time.Unix(1000, 0)
	item := func(team string, weight, priority int, deadline time.Duration) *Item {
		return &Item{Team: team, Weight: weight, Priority: priority, Deadline: at.Add(deadline)}
	}
	for name, tc := range map[string]struct {
		items []*Item
		want  []string
	}{
		"round robin between teams": {
			items: []*Item{item("a", 1, 0, 1), item("a", 1, 0, 2), item("a", 1, 0, 3), item("b", 1, 0, 4)},
			want:  []string{"a1", "b4", "a2", "a3"},
		},
		"by weight": {
			items: []*Item{item("a", 2, 0, 1), item("a", 2, 0, 2), item("a", 2, 0, 3), item("b", 1, 0, 4), item("b", 1, 0, 5)},
			want:  []string{"a1", "b4", "a2", "a3", "b5"},
		},
		"priority, then deadline": {
			items: []*Item{item("a", 1, 0, 9), item("a", 1, 0, 3), item("a", 1, 5, 8)},
			want:  []string{"a8", "a3", "a9"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(10)
			for _, each := range tc.items {
				q.Push(each)
			}
			for i, want := range tc.want {
				got, ok := q.Pop()
				if !ok {
					t.Fatalf("queue is empty at %d", i)
				}
				if name := fmt.Sprint(got.Team, int(got.Deadline.Sub(at))); name != want {
					t.Errorf("position %d: %s, want %s", i, name, want)
				}
			}
			if q.Len() != 0 {
				t.Errorf("%d left", q.Len())
			}
		})
	}
}

func TestFullQueueEvictsLargestTeam(t *testing.T) {
	q := NewQueue(3)
	now := time.Unix(1000, 0)
	for i := range 3 {
		q.Push(&Item{Team: "large", Deadline: now.Add(time.Duration(i))})
	}
	evicted := q.Push(&Item{Team: "small", Deadline: now})
	if evicted == nil || evicted.Team != "large" || evicted.Deadline != now.Add(2) {
		t.Errorf("evicted %+v, want the last request of the large team", evicted)
	}
}

// slots counts the free slots of a box.
type slots struct {
	mu   sync.Mutex
	free int
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
}

func (s *slots) reserve() (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return "", false
	}
	s.free--
	return "box", true
}

func TestControllerRefusesImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController(100)
		s := &slots{free: 1}
		request := func(deadline time.Duration) Request {
			return Request{Team: "a", Deadline: time.Now().Add(deadline), Reserve: s.reserve}
		}
		for range 20 {
			if _, err := c.Acquire(t.Context(), request(time.Minute)); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond)
			s.release()
			c.Done("a")
		}
		s.free = 0
		for range 30 {
			go func() { _, _ = c.Acquire(t.Context(), request(time.Minute)) }()
		}
		synctest.Wait()
		begin := time.Now()
		_, err := c.Acquire(t.Context(), request(time.Second))
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.RetryAfter < 2*time.Second {
			t.Errorf("error %v, want a refusal with a retry delay of about 3 s", err)
		}
		if took := time.Since(begin); took != 0 {
			t.Errorf("the refusal took %s, want none", took)
		}
	})
}

func TestControllerDeadlinePassesInQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController(10)
		s := &slots{}
		begin := time.Now()
		_, err := c.Acquire(t.Context(), Request{Team: "a", Deadline: begin.Add(time.Second), Reserve: s.reserve})
		var refused *RefusedError
		if !errors.As(err, &refused) || time.Since(begin) != time.Second {
			t.Errorf("error %v after %s, want a refusal at the deadline", err, time.Since(begin))
		}
		if c.Waiting() != 0 || len(c.teamRequests) != 0 {
			t.Errorf("%d wait, %d are counted: the refused request is still counted", c.Waiting(), len(c.teamRequests))
		}
	})
}

func TestControllerCallerCancels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewController(10)
		s := &slots{}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			_, err := c.Acquire(ctx, Request{Team: "a", Deadline: time.Now().Add(time.Hour), Reserve: s.reserve})
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; err == nil || c.Waiting() != 0 {
			t.Errorf("error %v, %d wait: the request of a caller that canceled was kept", err, c.Waiting())
		}
	})
}

func TestControllerTeamLimit(t *testing.T) {
	c := NewController(10)
	s := &slots{free: 5}
	request := Request{Team: "a", Concurrency: 2, Deadline: time.Now().Add(time.Hour), Reserve: s.reserve}
	for range 2 {
		if _, err := c.Acquire(t.Context(), request); err != nil {
			t.Fatal(err)
		}
	}
	var refused *RefusedError
	if _, err := c.Acquire(t.Context(), request); !errors.As(err, &refused) || refused.Overload {
		t.Errorf("error %v, want a refusal at the team's limit", err)
	}
	c.Done("a")
	if _, err := c.Acquire(t.Context(), request); err != nil {
		t.Errorf("after one request has ended: %v", err)
	}
}

// TestSmallTeamKeepsShareBesideLargeTeam checks that small teams within their share get all requests served while a large
// team overloads the service.
func TestSmallTeamKeepsShareBesideLargeTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const service, rounds = 100 * time.Millisecond, 400
		c := NewController(1000)
		s := &slots{free: 10}
		var mu sync.Mutex
		served, sent := make(map[string]int), make(map[string]int)
		send := func(team string) {
			sent[team]++
			go func() {
				_, err := c.Acquire(t.Context(), Request{Team: team, Deadline: time.Now().Add(2 * time.Second), Reserve: s.reserve})
				if err != nil {
					return
				}
				mu.Lock()
				served[team]++
				mu.Unlock()
				time.Sleep(service)
				s.release()
				c.Done(team)
				c.Dispatch()
			}()
		}
		for round := range rounds {
			send("large")
			if round%2 == 0 {
				send("large")
			}
			if round%3 == 0 {
				send(fmt.Sprint("small-", round/3%9))
			}
			time.Sleep(10 * time.Millisecond)
			c.Shed()
			synctest.Wait()
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		for team, n := range sent {
			if team != "large" && served[team] < n {
				t.Errorf("%s: %d of %d served", team, served[team], n)
			}
		}
		if total := served["large"]; total < rounds/2 {
			t.Errorf("the large team got %d of %d requests served", total, rounds)
		}
	})
}
