package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	modelName    = "weights"
	modelService = "drafting-models"
	originName   = "family-ledger"
	draftPath    = "/draft/"
	modelBoxes   = 12
	modelEntries = 5
	modelSlots   = 16
	streamTime   = 6 * time.Second
	recovery     = 12 * time.Second
	downTime     = 1500 * time.Millisecond
	watchTime    = 15 * time.Second
	// startSpread is how long after the boxes the entries start: all machines start within 0.3 s, in any order.
	startSpread = 280 * time.Millisecond
)

// spoilingOrigin serves weights and spoils the first manifest of the newest version after it is armed: one bit of one byte.
type spoilingOrigin struct {
	rig    *rig
	origin *standin.Origin
	armed  atomic.Bool
	served atomic.Int64
}

// ServeHTTP serves one request and records manifests.
func (o *spoilingOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorded := httptest.NewRecorder()
	o.origin.ServeHTTP(recorded, r)
	body := recorded.Body.Bytes()
	o.served.Add(1)
	if strings.HasPrefix(r.URL.Path, "/manifest/") {
		newest := r.URL.Query().Get("version") == ""
		if newest && recorded.Code == http.StatusOK && o.armed.CompareAndSwap(true, false) {
			if i := bytes.Index(body, []byte(`"version":`)); i >= 0 {
				body[i+len(`"version":`)] ^= 8
				o.rig.notef("a manifest of the newest version is spoilt in one bit: %s", body[:60])
			}
		}
		o.rig.notef("origin: %s?%s gets %d", r.URL.Path, r.URL.RawQuery, recorded.Code)
	}
	for name, values := range recorded.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(recorded.Code)
	_, _ = w.Write(body)
}

// playSpoilt ends all machines at the same moment, with the servers' weights, and starts them again. One answer of the origin arrives
// spoilt then. It checks that requests are served again once recoveryS has passed.
func playSpoilt(r *rig, trouble bool) (broken bool, err error) {
	origin := &spoilingOrigin{rig: r, origin: &standin.Origin{}}
	origin.origin.SetNewest(1)
	if err := r.serve(addr(r.ip(9, 3), originPort), origin); err != nil {
		return false, err
	}
	r.declareModel()
	servers, processes, entries, err := r.startModelSite()
	if err != nil {
		return false, err
	}
	before := r.stream("before", entries, watchTime)
	if before < 0.25 {
		return false, fmt.Errorf("only %.2f of the requests were served before the fault", before)
	}
	r.notef("all machines lose power")
	for _, p := range processes {
		p.kill()
	}
	for _, s := range servers {
		s.Crash()
		s.Deregister()
		s.WipeStaged()
	}
	time.Sleep(downTime)
	if trouble {
		origin.armed.Store(true)
	}
	for _, s := range servers {
		if err := s.Start(0); err != nil {
			return false, err
		}
	}
	for i, p := range processes {
		if i == modelBoxes {
			time.Sleep(startSpread)
		}
		if err := p.start(); err != nil {
			return false, err
		}
	}
	r.notef("all machines are back")
	time.Sleep(recovery)
	after := r.stream("after", entries, watchTime)
	if trouble && origin.armed.Load() {
		return false, fmt.Errorf("no manifest of the newest version was asked for")
	}
	r.notef("served before the fault: %.2f, later than %s after the machines are back: %.2f; origin served %d", before, recovery, after, origin.served.Load())
	if after < 0.25 {
		r.notef("RECOVER: less than a quarter is served")
		return true, nil
	}
	return false, nil
}

// declareModel declares a stream route to the model servers, and the origin. No version is named.
func (r *rig) declareModel() {
	r.store.Put(standin.TableDeclared, standin.KeyConfig, standin.Config{
		Version: 1,
		Routes: []standin.Route{{
			Name: "draft", Host: host, PathPrefix: draftPath, Kind: standin.KindStream, TimeoutMs: int(streamTime.Milliseconds()), GoalMs: 500,
			GapGoalMs: 400, Priority: 1, Service: modelService, MaxAttempts: 2, Resumable: true,
		}},
		Services: []standin.Service{
			{Name: modelService, HealthPath: standin.HealthPath, MaxConns: 374, Engine: &standin.EngineFigures{
				Slots: modelSlots, Stride: 5, Chunk: 2048, StepMs: 8.87, ReadPerS: 19100, Chunks: standin.Pieces, ChunkBytes: standin.PieceBytes,
				Models: []standin.EngineModel{{Name: modelName, WarmS: 0.3}}, Usual: standin.UsualRequest{Prompt: 600, Answer: 60},
			}},
			{Name: originName, MaxConns: 48, Origin: addr(r.ip(9, 3), originPort), LinkMbps: 9.9},
		},
		Tenants: []standin.Tenant{{Name: tenant, APIKeys: []string{apiKey}}},
		Limits:  standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
}

// startModelSite starts model servers that run version 1, their boxes and two entries.
func (r *rig) startModelSite() (servers []*standin.Server, processes []*process, entries []string, err error) {
	runs := &standin.Recorder{}
	for i := range modelBoxes {
		ip := r.ip(2, i+1)
		s := &standin.Server{
			Address: addr(ip, serverPort), Listen: addr(ip, serverPort), Service: modelService, Zone: zones[i%len(zones)], Model: modelName,
			Slots: modelSlots, Store: r.store, Recorder: runs,
		}
		if err := s.Start(1); err != nil {
			return nil, nil, nil, err
		}
		r.closers = append(r.closers, s.Crash)
		servers = append(servers, s)
		p, err := r.startDaemon("box", fmt.Sprintf("side-%d", i+1), standin.Settings{
			IP: ip, Zone: s.Zone, LinkPort: innerPort, UpstreamAddress: s.Address, Service: modelService,
		})
		if err != nil {
			return nil, nil, nil, err
		}
		processes = append(processes, p)
	}
	for n := 1; n <= modelEntries; n++ {
		p, entry, err := r.startEntry(n)
		if err != nil {
			return nil, nil, nil, err
		}
		if err := r.waitReady(n); err != nil {
			return nil, nil, nil, err
		}
		processes, entries = append(processes, p), append(entries, entry)
	}
	time.Sleep(settle)
	return servers, processes, entries, nil
}

// stream lets ten clients send one stream after the other for a time and returns the share that was served.
func (r *rig) stream(name string, entries []string, length time.Duration) float64 {
	var wg sync.WaitGroup
	var sent, served atomic.Int64
	end := time.Now().Add(length)
	for c := range 10 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := newClient()
			for n := 0; time.Now().Before(end); n++ {
				req := standin.Request{
					ID: fmt.Sprintf("%s-%d-%d", name, c, n), Host: host, Path: draftPath + "7", Key: apiKey, Model: modelName,
					PromptTokens: 600, AnswerTokens: 60, Timeout: streamTime,
				}
				ctx, cancel := context.WithTimeout(context.Background(), streamTime+time.Second)
				r.notef("sent %s", req.ID)
				got := req.Send(ctx, client, entries[c%len(entries)])
				cancel()
				r.notef("answered %s: %d, complete %t, err %v %s", req.ID, got.Status, got.Complete(), got.Err, got.Violation)
				sent.Add(1)
				if got.Complete() {
					served.Add(1)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
	return float64(served.Load()) / float64(max(sent.Load(), 1))
}
