package contract

import "time"

// Service is a group of servers that answer alike.
type Service struct {
	Name string
	// MaxConns is how many connections a server takes from all callers together.
	MaxConns int
	// Engine describes the model engines of the service; nil for a plain service.
	Engine *Engine
	// Origin is the address at which the service hands out weights; empty for all others.
	Origin string
	// LinkRate is the origin's link in bytes a second.
	LinkRate float64
}

// Engine holds the figures of a model engine.
type Engine struct {
	Slots  int
	Models []Model
	// Stride is how many steps a pass with writers plays.
	Stride int
	// Chunk is how many prompt tokens a step reads at most.
	Chunk int
	// Step is the time of a token step, PerSequence what each writer adds, PerContext what 1,000 tokens of context add.
	Step        time.Duration
	PerSequence time.Duration
	PerContext  time.Duration
	// ReadRate is how many prompt tokens are read in a second, PerPairs what a million pairs of tokens add.
	ReadRate float64
	PerPairs time.Duration
	// UsualPrompt and UsualAnswer are the mean tokens of a request.
	UsualPrompt int
	UsualAnswer int
}

// Model is a model that an engine may hold.
type Model struct {
	Name string
	// Load is how long an engine takes to load it.
	Load time.Duration
}

// Model returns the only or first model of the engine; ok is false when there is none.
func (e *Engine) Model() (model Model, ok bool) {
	if e == nil || len(e.Models) == 0 {
		return Model{}, false
	}
	return e.Models[0], true
}

// Team is a group of callers with its keys; Priority goes before a route's when HasPriority.
type Team struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}
