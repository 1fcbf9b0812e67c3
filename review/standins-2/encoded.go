package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	otherService = "roster-archive"
	otherPrefix  = confirmPath + "north/"
	// encodedPath names one thing, "north/7", in one segment of a path: it begins with confirmPath, not with otherPrefix.
	encodedPath = confirmPath + "north%2F7"
)

// playEncoded adds a route with a longer prefix to another service, while clients send a path that this prefix does not begin. It checks
// that the other service runs none of these requests.
func playEncoded(r *rig, trouble bool) (broken bool, err error) {
	var servers []*plainServer
	for i, service := range []string{serviceName, serviceName, otherService} {
		s := &plainServer{
			rig: r, address: addr(r.ip(3, i+1), serverPort), zone: zones[i], service: service, id: fmt.Sprintf("i-%s-%d", service, i+1), answer: answerWhole,
		}
		if err := s.start(); err != nil {
			return false, err
		}
		r.closers = append(r.closers, s.crash)
		servers = append(servers, s)
	}
	r.declareRoutes(1, false)
	_, entry, err := r.startEntry(1)
	if err != nil {
		return false, err
	}
	if err := r.waitReady(1); err != nil {
		return false, err
	}
	time.Sleep(settle)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for c := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			client := newClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
				}
				r.request(client, http.MethodGet, entry, encodedPath, fmt.Sprintf("r-%d-%d", c, n), "", lookupBudget)
			}
		}()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		r.declareRoutes(2, true)
		r.notef("version 2 adds the route %s to %s", otherPrefix, otherService)
	}
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	if len(servers[0].ran())+len(servers[1].ran()) == 0 {
		return false, fmt.Errorf("no request was served")
	}
	if n := len(servers[2].ran()); n > 0 && !strings.HasPrefix(encodedPath, otherPrefix) {
		r.notef("ROUTE: %s has run %d requests for %s, which its only route, %s, does not begin", otherService, n, encodedPath, otherPrefix)
		return true, nil
	}
	return false, nil
}

// declareRoutes declares a route, and a second one with a longer prefix to another service.
func (r *rig) declareRoutes(version int64, both bool) {
	route := standin.Route{
		Name: "slot", Host: host, PathPrefix: confirmPath, Kind: standin.KindSafe, TimeoutMs: int(confirmTimeout.Milliseconds()), GoalMs: 300,
		Priority: 2, Service: serviceName, MaxAttempts: 2,
	}
	routes := []standin.Route{route}
	if both {
		route.Name, route.PathPrefix, route.Service = "archive", otherPrefix, otherService
		routes = append(routes, route)
	}
	r.store.Put(standin.TableDeclared, standin.KeyConfig, standin.Config{
		Version: version, Routes: routes,
		Services: []standin.Service{{Name: serviceName, HealthPath: healthPath, MaxConns: 110}, {Name: otherService, HealthPath: healthPath, MaxConns: 110}},
		Tenants:  []standin.Tenant{{Name: tenant, APIKeys: []string{apiKey}}},
		Limits:   standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	})
}
