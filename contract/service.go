package contract

import "time"

// Service is a group of interchangeable servers.
type Service struct {
	Name string
	// MaxConns bounds the connections to a server from all callers together.
	MaxConns int
	// HealthPath is the path of a health check that names the server; empty if its servers have none.
	HealthPath string
	// Engine describes the service's model engines; nil for a plain service.
	Engine *Engine
	// Origin is the address at which the service serves weights; empty for all other services.
	Origin string
	// LinkRate is the bandwidth of the origin's link in bytes a second.
	LinkRate float64
	// ColdStart is how long a server stays cold after its start, ColdRate how many requests a second it bears meanwhile from all entries
	// together; 0 if the service's servers are never cold.
	ColdStart time.Duration
	ColdRate  float64
}

// Engine holds the performance parameters of a model engine.
type Engine struct {
	Slots  int
	Models []Model
	// Stride is the number of decode steps in a pass while requests are decoding.
	Stride int
	// Chunk is the most prompt tokens that are prefilled in a pass.
	Chunk int
	// Step is the base time of a decode step, PerSequence the extra time per decoding request, PerContext that per 1,000 tokens of context.
	Step        time.Duration
	PerSequence time.Duration
	PerContext  time.Duration
	// ReadRate is the prefill rate in tokens a second, PerPairs the extra time per million pairs of prompt tokens.
	ReadRate float64
	PerPairs time.Duration
	// UsualPrompt and UsualAnswer are the mean numbers of tokens of a request's prompt and answer.
	UsualPrompt int
	UsualAnswer int
}

// Model is a model that an engine can load.
type Model struct {
	Name string
	// Load is how long an engine takes to load the model.
	Load time.Duration
}

// Model returns the only or first model of the engine; ok is false when there is none.
func (e *Engine) Model() (model Model, ok bool) {
	if e == nil || len(e.Models) == 0 {
		return Model{}, false
	}
	return e.Models[0], true
}

// Team is a group of callers with its keys; Priority overrides that of routes if HasPriority is set, and Homes are the regions that may
// serve its requests, none meaning all.
type Team struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool
	Homes       []string
}

// Limits bound the size of requests, the time for sending a header and the idle time of connections.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}
