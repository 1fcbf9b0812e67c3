package standin

// Config is the configuration that operators declare.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
	Limits   Limits    `json:"limits"`
}

// Route is a route of a configuration.
type Route struct {
	Name        string   `json:"name"`
	Host        string   `json:"host"`
	PathPrefix  string   `json:"pathPrefix"`
	Kind        string   `json:"kind"`
	TimeoutMs   int      `json:"timeoutMs"`
	GoalMs      int      `json:"goalMs"`
	GapGoalMs   int      `json:"gapGoalMs,omitempty"`
	Priority    int      `json:"priority"`
	Service     string   `json:"service"`
	MaxAttempts int      `json:"maxAttempts"`
	Public      bool     `json:"public"`
	Resumable   bool     `json:"resumable"`
	HomeRegions []string `json:"homeRegions,omitempty"`
}

// Kinds of routes.
const (
	KindSafe   = "safe"
	KindUnsafe = "unsafe"
	KindStream = "stream"
)

// Service is a service of a configuration.
type Service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"healthPath,omitempty"`
	MaxConns   int            `json:"maxConns"`
	Origin     string         `json:"origin,omitempty"`
	LinkMbps   float64        `json:"linkMbps,omitempty"`
	ColdStartS float64        `json:"coldStartS,omitempty"`
	ColdPerS   float64        `json:"coldPerS,omitempty"`
	Engine     *EngineFigures `json:"engine,omitempty"`
}

// EngineFigures holds the performance figures of an engine.
type EngineFigures struct {
	Slots      int           `json:"slots"`
	Stride     int           `json:"stride"`
	Chunk      int           `json:"chunk"`
	StepMs     float64       `json:"step_ms"`
	ReadPerS   float64       `json:"read_per_s"`
	Chunks     int           `json:"chunks"`
	ChunkBytes int           `json:"chunkBytes"`
	Models     []EngineModel `json:"models"`
	Usual      UsualRequest  `json:"usual"`
}

// EngineModel is a model of an engine with its warm-up time in seconds.
type EngineModel struct {
	Name  string  `json:"name"`
	WarmS float64 `json:"warmS"`
}

// UsualRequest is the size of a usual request in tokens.
type UsualRequest struct {
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
}

// Tenant is a tenant with its API keys.
type Tenant struct {
	Name        string   `json:"name"`
	APIKeys     []string `json:"apiKeys"`
	HomeRegions []string `json:"homeRegions,omitempty"`
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

// Target is the version of a model that servers should load.
type Target struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
}

// Heartbeat is a server's row in the store, written as its heartbeat.
type Heartbeat struct {
	Service    string        `json:"service"`
	Address    string        `json:"address"`
	Zone       string        `json:"zone"`
	Slots      int           `json:"slots"`
	State      string        `json:"state"`
	Models     []LoadedModel `json:"models"`
	Seq        int64         `json:"seq"`
	Born       int64         `json:"born"`
	ColdLeftMs int64         `json:"coldLeftMs"`
}

// LoadedModel is a model with the version that a server runs.
type LoadedModel struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// States of a server.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)
