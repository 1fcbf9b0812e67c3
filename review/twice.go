package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	twiceServers  = 4
	twiceClients  = 8
	twicePause    = 100 * time.Millisecond
	twiceTime     = 20 * time.Second
	twiceLossFrom = 2 * time.Second
	// Half of the servers lose twiceLossShare of their answers for twiceLossTime, as on one of the standard days.
	twiceLossShare = 0.05
	twiceLossTime  = 5500 * time.Millisecond
)

// playTwice sends requests that may run at most once. They have no body, and each carries a key by which the application knows a repeat.
// For some seconds half of the servers lose some answers: they run the request and reset its channel.
func playTwice(r *rig) (broken int, err error) {
	runs := &runLog{}
	var servers []*plainServer
	for n := range twiceServers {
		s, err := r.addPlain(n+1, plainService, runs)
		if err != nil {
			return 0, err
		}
		servers = append(servers, s)
	}
	r.store.put(tableDeclared, keyConfig, r.declaredConfig())
	for n := range 2 {
		if err := r.addEntry(n + 1); err != nil {
			return 0, err
		}
	}
	if err := r.awaitReady(); err != nil {
		return 0, err
	}
	end := time.Now().Add(twiceTime)
	var clients sync.WaitGroup
	for n := range twiceClients {
		clients.Go(func() { r.sendUnsafe(n, end) })
	}
	if r.trouble {
		time.Sleep(twiceLossFrom)
		for _, s := range servers[:twiceServers/2] {
			s.setLossShare(twiceLossShare)
		}
		r.line("half of the servers lose %g of their answers", twiceLossShare)
		time.Sleep(twiceLossTime)
		for _, s := range servers[:twiceServers/2] {
			s.setLossShare(0)
		}
		r.line("servers lose no more answers")
	}
	clients.Wait()
	requests := 0
	for id, all := range runs.byID() {
		requests++
		if len(all) > 1 {
			broken++
			for _, run := range all {
				r.line("TWICE: request %s ran at server %s, channel of %s", id, run.server, run.channel)
			}
		}
	}
	if requests == 0 {
		return 0, fmt.Errorf("no request ran")
	}
	r.printf("%d unsafe requests ran, %d of them more than once", requests, broken)
	return broken, nil
}

// sendUnsafe sends requests one after the other on a kept channel until end. It repeats none.
func (r *rig) sendUnsafe(client int, end time.Time) {
	var c *channel
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for time.Now().Before(end) {
		time.Sleep(twicePause/2 + rand.N(twicePause))
		if c == nil {
			var err error
			if c, err = openChannel(r.entries[client%len(r.entries)]); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		r.line("client %d sends POST %s%s", client, unsafePrefix, id)
		resp, err := c.send(request{
			method: http.MethodPost, path: unsafePrefix + "slot", id: id, timeout: unsafeTimeoutMs * time.Millisecond,
			headers: []string{"Idempotency-Key: " + id},
		})
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil {
			r.line("client %d: no answer to %s: %v", client, id, err)
			c.close()
			c = nil
			continue
		}
		r.line("client %d: answer to %s: %d, seal %q", client, id, resp.StatusCode, resp.Header.Get("X-Server-Seal"))
		if resp.Close {
			c.close()
			c = nil
		}
	}
}
