package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// usualReportTime is how long a server takes to answer GET /report, slowFactor how many times as long a slow one takes for all it does.
	usualReportTime = 150 * time.Millisecond
	slowFactor      = 5
	slowTime        = 6 * time.Second
	// nextVersionAfter is how long after a new server got the last piece of a version the next version is named.
	nextVersionAfter = 150 * time.Millisecond

	// wholeServers run version 1 at the start, and one more is added: the slow one is less than 16 in 100 of them.
	wholeServers = 6
	wholeClients = 15
	clientPause  = 60 * time.Millisecond
	fillTimeout  = 30 * time.Second
	wholeRest    = 14 * time.Second
)

// playWhole adds an empty model server to a deployment that runs version 2, and names version 3 soon after the new server got all pieces of
// version 2. The new server is slow for some seconds.
func playWhole(r *rig) (broken int, err error) {
	r.store.put(tableDeclared, keyConfig, r.declaredConfig())
	weights, servers, err := r.startModels(wholeServers)
	if err != nil {
		return 0, err
	}
	defer r.startStreams(wholeClients)()
	time.Sleep(3 * time.Second)
	r.name(weights, 2)
	if err := awaitVersion(servers, 2); err != nil {
		return 0, err
	}
	added, err := r.addModelServer(wholeServers+1, 0)
	if err != nil {
		return 0, err
	}
	servers = append(servers, added)
	staged := added.awaitStaged(2)
	if r.trouble {
		r.line("server %s is slow for %v", added.id, slowTime)
		added.turnSlow(slowTime)
	}
	if err := r.addBox(wholeServers+1, modelService); err != nil {
		return 0, err
	}
	select {
	case <-staged:
	case <-time.After(fillTimeout):
		return 0, fmt.Errorf("the new server does not get version 2")
	}
	r.line("all pieces of version 2 are put at server %s", added.id)
	time.Sleep(nextVersionAfter)
	r.name(weights, 3)
	time.Sleep(wholeRest)
	served := 0
	for _, s := range servers {
		s.mu.Lock()
		served += s.served
		broken += len(s.tainted)
		s.mu.Unlock()
	}
	r.printf("%d streams had tokens, %d of them from layers that were taken with a wrong piece", served, broken)
	return broken, nil
}

// startModels starts the origin, model servers that run version 1 with their boxes, and the entries.
func (r *rig) startModels(count int) (*origin, []*modelServer, error) {
	weights := &origin{}
	weights.setNewest(1)
	if err := r.serve(r.address(groupPlatform, 2, originPort), weights); err != nil {
		return nil, nil, err
	}
	var servers []*modelServer
	for n := range count {
		s, err := r.addModelServer(n+1, 1)
		if err != nil {
			return nil, nil, err
		}
		servers = append(servers, s)
		if err := r.addBox(n+1, modelService); err != nil {
			return nil, nil, err
		}
	}
	for n := range entryCount {
		if err := r.addEntry(n + 1); err != nil {
			return nil, nil, err
		}
	}
	return weights, servers, r.awaitReady()
}

// startStreams starts clients that send streams until the returned function is called.
func (r *rig) startStreams(count int) (end func()) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range count {
		clients.Go(func() { r.sendStreams(n, stop) })
	}
	return func() {
		close(stop)
		clients.Wait()
	}
}

// name makes the origin serve a version, and names it as the operator does.
func (r *rig) name(weights *origin, version int64) {
	weights.setNewest(version)
	r.line("the operator names version %d", version)
	r.store.put(tableDeclared, keyVersion+modelName, map[string]any{"model": modelName, "version": version})
}

// awaitVersion waits until all servers run a version.
func awaitVersion(servers []*modelServer, version int64) error {
	end := time.Now().Add(fillTimeout)
	for _, s := range servers {
		for !s.hasLoaded(version) {
			if time.Now().After(end) {
				return fmt.Errorf("server %s does not run version %d", s.id, version)
			}
			time.Sleep(slotPoll)
		}
	}
	return nil
}

// sendStreams sends streams one after the other on a kept channel until stop is closed.
func (r *rig) sendStreams(client int, stop <-chan struct{}) {
	var c *channel
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(clientPause/2 + rand.N(clientPause)):
		}
		if c == nil {
			var err error
			if c, err = openChannel(r.entries[client%len(r.entries)]); err != nil {
				continue
			}
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		resp, err := c.send(request{
			method: http.MethodPost, path: streamPrefix + "notice", id: id, timeout: streamTimeoutMs * time.Millisecond, body: `{"draft":true}`,
			headers: []string{"X-Model: " + modelName, fmt.Sprintf("X-Token-Counts: 200,%d", r.events*tokensPerEvent), "X-Prompt-Prefix: 5c1e07a2:40," + id[:8] + ":160"},
		})
		var answer []byte
		if err == nil {
			answer, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			r.line("client %d: no whole answer to %s: %v", client, id, err)
			c.close()
			c = nil
			continue
		}
		r.line("client %d: whole answer to %s: %d, version %q, seal %q, %d events", client, id, resp.StatusCode,
			resp.Header.Get("X-Weight-Versions"), resp.Header.Get("X-Server-Seal"), bytes.Count(answer, []byte("\n\n")))
		if resp.StatusCode == http.StatusOK {
			r.takeAnswer(id, bytes.Count(answer, []byte("\n\n")))
		}
		if resp.Close {
			c.close()
			c = nil
		}
	}
}
