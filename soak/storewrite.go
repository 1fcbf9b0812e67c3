package soak

import (
	"fmt"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

// storeWrite is a write of a configuration or a version target, with the times at which it was sent and acknowledged.
type storeWrite struct {
	revision int64
	version  int64
	sent     time.Time
	acked    time.Time
}

// revisionPath returns the path of a route that exists in one revision only.
func revisionPath(revision int64) string { return fmt.Sprintf("/revision-%d/", revision) }

// writeConfig writes the next configuration revision; oldKey is valid in the first one only.
func (r *rig) writeConfig() storeWrite {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	cfg := r.config()
	w := storeWrite{revision: r.revision, sent: time.Now()}
	r.store.Put(standin.TableDeclared, standin.KeyConfig, cfg)
	w.acked = time.Now()
	r.storeWrites = append(r.storeWrites, w)
	return w
}

// config returns the configuration of the newest revision; r.mu must be held.
func (r *rig) config() standin.Config {
	keys := []string{goodKey}
	if r.revision == 1 {
		keys = append(keys, oldKey)
	}
	load := r.workload()
	route := func(name, path, kind, service string) standin.Route {
		return standin.Route{
			Name: name, Host: host, PathPrefix: path, Kind: kind, GoalMs: 500, Priority: 1, Service: service,
			TimeoutMs: int((load.timeout + time.Second).Milliseconds()), MaxAttempts: 2,
		}
	}
	stream := route("draft", streamPath, standin.KindStream, modelService)
	stream.Resumable, stream.GapGoalMs = true, 400
	own := route("revision", revisionPath(r.revision), standin.KindSafe, plainService)
	own.Public = true
	routes := []standin.Route{
		stream, route("confirm", unsafePath, standin.KindUnsafe, plainService), route("look", safePath, standin.KindSafe, plainService), own,
	}
	cold := standin.Service{}
	if r.opts.Sites {
		routes = append(routes, withHomes(stream, homePath+"draft/"), withHomes(route("confirm at home", "", standin.KindUnsafe, plainService), homePath+"confirm/"))
		cold.ColdStartS, cold.ColdPerS = coldTime.Seconds(), coldRate
	}
	teams := []standin.Tenant{{Name: team, APIKeys: keys}}
	if r.opts.Ranks {
		routes, teams = withRanks(routes, teams)
	}
	return standin.Config{
		Version: r.revision,
		Routes:  routes,
		Services: []standin.Service{
			{Name: modelService, HealthPath: standin.HealthPath, MaxConns: 200, Engine: engineConfig(load), ColdStartS: cold.ColdStartS, ColdPerS: cold.ColdPerS},
			{Name: plainService, HealthPath: standin.HealthPath, MaxConns: 100, ColdStartS: cold.ColdStartS, ColdPerS: cold.ColdPerS},
			{Name: originName, MaxConns: 48, Origin: hostPort(r.ip(9, 3), originPort), LinkMbps: 50},
		},
		Tenants: teams,
		Limits:  standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

func engineConfig(load workload) *standin.EngineFigures {
	return &standin.EngineFigures{
		Slots: load.slots, Stride: 1, Chunk: 2048, StepMs: 3, ReadPerS: 50000, Chunks: standin.Pieces, ChunkBytes: standin.PieceBytes,
		Models: []standin.EngineModel{{Name: model, WarmS: 0.15}}, Usual: standin.UsualRequest{Prompt: 200, Answer: load.tokens + load.tokenSpread/2},
	}
}

// writeTarget publishes the next model version and names it as the target; the first is preloaded and not named.
func (r *rig) writeTarget() storeWrite {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.origin.SetNewest(r.version)
	w := storeWrite{version: r.version, sent: time.Now()}
	if r.version > 1 {
		r.store.Put(standin.TableDeclared, standin.KeyVersion+model, standin.Target{Model: model, Version: r.version})
	}
	w.acked = time.Now()
	r.storeWrites = append(r.storeWrites, w)
	return w
}

// current returns the newest configuration revision and model version.
func (r *rig) current() (revision, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.version
}
