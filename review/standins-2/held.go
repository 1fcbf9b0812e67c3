package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	heldClients  = 30
	heldEntries  = 3
	serverDown   = 2 * time.Second
	beforeCrash  = 12 * time.Second
	afterCrash   = 6 * time.Second
	daemonsDown  = time.Second
	lapsedBeats  = 3
	lookupBudget = 3 * time.Second
)

// traffic is what clients sent and got, by the time at which it was sent.
type traffic struct {
	mu   sync.Mutex
	sent []time.Time
	ok   []bool
}

// share returns the share of the requests sent between two times that were served.
func (t *traffic) share(from, to time.Time) (served float64, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	good := 0
	for i, at := range t.sent {
		if at.Before(from) || at.After(to) {
			continue
		}
		sent++
		if t.ok[i] {
			good++
		}
	}
	return float64(good) / float64(max(sent, 1)), sent
}

// lookUp lets clients look up the same thing again and again until stop is closed.
func (r *rig) lookUp(entries []string, stop chan struct{}, t *traffic) *sync.WaitGroup {
	var wg sync.WaitGroup
	for c := range heldClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50*time.Millisecond + rand.N(100*time.Millisecond)):
				}
				at := time.Now()
				got := r.request(client, http.MethodGet, entries[c%len(entries)], confirmPath+"today", fmt.Sprintf("r-%d-%d", c, n), "", lookupBudget)
				t.mu.Lock()
				t.sent, t.ok = append(t.sent, at), append(t.ok, got.err == nil && got.status == http.StatusOK)
				t.mu.Unlock()
			}
		}()
	}
	return &wg
}

// playHeld lets all servers of a service crash at the same moment, and start again, while clients look up the same thing. Later the final
// fault kills all processes. It checks that requests are served again once recoveryS has passed.
func playHeld(r *rig, trouble bool) (broken bool, err error) {
	r.declarePlain(standin.KindSafe, 2, confirmTimeout)
	var servers []*plainServer
	for i := range zones {
		s := &plainServer{rig: r, address: addr(r.ip(3, i+1), serverPort), zone: zones[i], id: fmt.Sprintf("i-desk-%d-1", i+1), answer: answerSlowly}
		if err := s.start(); err != nil {
			return false, err
		}
		r.closers = append(r.closers, s.crash)
		servers = append(servers, s)
	}
	var entries []string
	var processes []*process
	for n := 1; n <= heldEntries; n++ {
		p, entry, err := r.startEntry(n)
		if err != nil {
			return false, err
		}
		if err := r.waitReady(n); err != nil {
			return false, err
		}
		entries, processes = append(entries, entry), append(processes, p)
	}
	time.Sleep(settle)
	var seen traffic
	stop := make(chan struct{})
	began := time.Now()
	clients := r.lookUp(entries, stop, &seen)
	time.Sleep(beforeCrash)
	if trouble {
		if err := r.crashTogether(servers); err != nil {
			return false, err
		}
	} else {
		time.Sleep(serverDown)
	}
	time.Sleep(afterCrash)
	fault := time.Now()
	for _, p := range processes {
		p.kill()
	}
	time.Sleep(daemonsDown)
	for _, p := range processes {
		if err := p.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	r.notef("all processes are back")
	time.Sleep(recovery + watchTime)
	close(stop)
	clients.Wait()
	before, sentBefore := seen.share(began, fault)
	after, sentAfter := seen.share(back.Add(recovery), time.Now())
	r.notef("served before the final fault: %.2f of %d, later than %s after the processes are back: %.2f of %d", before, sentBefore, recovery, after, sentAfter)
	if before < 0.25 {
		return false, fmt.Errorf("less than a quarter was served before the final fault")
	}
	if after < 0.25 {
		r.notef("RECOVER: less than a quarter is served")
		return true, nil
	}
	return false, nil
}

// crashTogether crashes all servers at the same moment and starts each again as a new incarnation under a new id.
func (r *rig) crashTogether(servers []*plainServer) error {
	var wg sync.WaitGroup
	for _, s := range servers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.crash()
		}()
	}
	wg.Wait()
	time.Sleep(serverDown)
	for i, s := range servers {
		old := s.id
		s.id = fmt.Sprintf("i-desk-%d-2", i+1)
		if err := s.start(); err != nil {
			return err
		}
		time.AfterFunc(lapsedBeats*beat-serverDown, func() { r.store.Put(standin.TableServers, old, nil) })
	}
	return nil
}
