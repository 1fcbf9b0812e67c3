package soak

import (
	"fmt"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

// declaration is a configuration or a version, and when the store took it.
type declaration struct {
	revision int64
	version  int64
	sent     time.Time
	acked    time.Time
}

// revisionPath returns the path of the route that only one revision has.
func revisionPath(revision int64) string { return fmt.Sprintf("/revision-%d/", revision) }

// declare has the store take the next configuration: with a route of its own, and from the second on without a key.
func (r *rig) declare() declaration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision++
	cfg := r.configuration()
	d := declaration{revision: r.revision, sent: time.Now()}
	r.store.Put(standin.TableDeclared, standin.KeyConfig, cfg)
	d.acked = time.Now()
	r.declared = append(r.declared, d)
	return d
}

// configuration returns the configuration of the newest revision; mu is held.
func (r *rig) configuration() standin.Config {
	keys := []string{goodKey}
	if r.revision == 1 {
		keys = append(keys, oldKey)
	}
	size := r.size()
	route := func(name, path, kind, service string) standin.Route {
		return standin.Route{
			Name: name, Host: host, PathPrefix: path, Kind: kind, GoalMs: 500, Priority: 1, Service: service,
			TimeoutMs: int((size.patience + time.Second).Milliseconds()), MaxAttempts: 2,
		}
	}
	stream := route("draft", streamPath, standin.KindStream, modelService)
	stream.Resumable, stream.GapGoalMs = true, 400
	own := route("revision", revisionPath(r.revision), standin.KindSafe, plainService)
	own.Public = true
	return standin.Config{
		Version: r.revision,
		Routes: []standin.Route{
			stream, route("confirm", oncePath, standin.KindUnsafe, plainService), route("look", safePath, standin.KindSafe, plainService), own,
		},
		Services: []standin.Service{
			{Name: modelService, HealthPath: "/health", MaxConns: 200, Engine: figures(size)},
			{Name: plainService, HealthPath: "/health", MaxConns: 100},
			{Name: originName, MaxConns: 48, Origin: hostPort(r.ip(9, 3), originPort), LinkMbps: 50},
		},
		Tenants: []standin.Tenant{{Name: team, APIKeys: keys}},
		Limits:  standin.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

func figures(size size) *standin.Figure {
	return &standin.Figure{
		Slots: size.slots, Stride: 1, Chunk: 2048, StepMs: 3, ReadPerS: 50000, Chunks: standin.Pieces, ChunkBytes: standin.PieceBytes,
		Models: []standin.FigureModel{{Name: model, WarmS: 0.15}}, Usual: standin.Usual{Prompt: 200, Answer: size.tokens + size.spread/2},
	}
}

// nameVersion has the store take the next version; the first is the one that servers start with and is not named.
func (r *rig) nameVersion() declaration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	r.origin.Name(r.version)
	d := declaration{version: r.version, sent: time.Now()}
	if r.version > 1 {
		r.store.Put(standin.TableDeclared, standin.KeyVersion+model, standin.Target{Model: model, Version: r.version})
	}
	d.acked = time.Now()
	r.declared = append(r.declared, d)
	return d
}

// current returns the newest revision and version.
func (r *rig) current() (revision, version int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.version
}
