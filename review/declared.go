package main

// Rows of the platform, in the spelling of its pages.

type serverRow struct {
	Service    string        `json:"service"`
	Address    string        `json:"address"`
	Zone       string        `json:"zone"`
	Version    string        `json:"version"`
	Slots      int           `json:"slots"`
	State      string        `json:"state"`
	ColdLeftMs int64         `json:"coldLeftMs"`
	Stage      string        `json:"stage,omitempty"`
	Models     []loadedModel `json:"models,omitempty"`
	Seq        int64         `json:"seq"`
}

type loadedModel struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

type configRow struct {
	Version  int64        `json:"version"`
	Routes   []routeRow   `json:"routes"`
	Services []serviceRow `json:"services"`
	Limits   limitsRow    `json:"limits"`
	Tenants  []tenantRow  `json:"tenants"`
}

type routeRow struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	GoalMs      int    `json:"goalMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky,omitempty"`
	Resumable   bool   `json:"resumable,omitempty"`
	GapGoalMs   int    `json:"gapGoalMs,omitempty"`
}

type serviceRow struct {
	Name       string     `json:"name"`
	HealthPath string     `json:"healthPath,omitempty"`
	MaxConns   int        `json:"maxConns"`
	Origin     string     `json:"origin,omitempty"`
	Zone       string     `json:"zone,omitempty"`
	LinkMbps   float64    `json:"linkMbps,omitempty"`
	Engine     *engineRow `json:"engine,omitempty"`
}

type engineRow struct {
	Slots       int        `json:"slots"`
	KvTokens    int        `json:"kvTokens"`
	Stride      int        `json:"stride"`
	Models      []modelRow `json:"models"`
	StepMs      float64    `json:"step_ms"`
	PerSeqMs    float64    `json:"per_seq_ms"`
	ContextPerK float64    `json:"context_per_k"`
	ReadPerS    float64    `json:"read_per_s"`
	PairsPerM   float64    `json:"pairs_per_m"`
	Chunk       int        `json:"chunk"`
	ReportLagMs float64    `json:"report_lag_ms"`
	Usual       usualRow   `json:"usual"`
	Layers      int        `json:"layers"`
	Chunks      int        `json:"chunks"`
	ChunkBytes  int        `json:"chunkBytes"`
}

type modelRow struct {
	Name  string  `json:"name"`
	WarmS float64 `json:"warmS"`
}

type usualRow struct {
	Prompt int `json:"prompt"`
	Answer int `json:"answer"`
}

type limitsRow struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
}

type tenantRow struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// Names that the cases declare.
const (
	host         = "roster.example"
	unsafePrefix = "/confirm/"
	streamPrefix = "/draft/"
	modelName    = "draftmodel"
	modelService = "drafting"
	plainService = "desk"
	originName   = "weights"
	tenantName   = "coordinators"
	tenantKey    = "jnbanfqasnmgkcuyj8pj"

	unsafeTimeoutMs = 3000
	streamTimeoutMs = 6000
)

// declaredConfig is the configuration of all cases.
func (r *rig) declaredConfig() configRow {
	return configRow{
		Version: 7,
		Routes: []routeRow{
			{
				Name: "confirm", Host: host, PathPrefix: unsafePrefix, Kind: "unsafe", TimeoutMs: unsafeTimeoutMs, GoalMs: 300, Priority: 2,
				Service: plainService, MaxAttempts: 1,
			},
			{
				Name: "draft", Host: host, PathPrefix: streamPrefix, Kind: "stream", TimeoutMs: streamTimeoutMs, GoalMs: 500, Priority: 1,
				Service: modelService, MaxAttempts: 2, Sticky: true, Resumable: true, GapGoalMs: 400,
			},
		},
		Services: []serviceRow{
			{
				Name: modelService, HealthPath: "/health", MaxConns: 374,
				Engine: &engineRow{
					Slots: 16, KvTokens: 1_180_000, Stride: 5, Models: []modelRow{{Name: modelName, WarmS: 0.3}}, StepMs: 8.87, PerSeqMs: 0.0388,
					ContextPerK: 0.0227, ReadPerS: 19_100, PairsPerM: 1.47, Chunk: 2048, ReportLagMs: 200, Usual: usualRow{Prompt: 977, Answer: 94},
					Layers: 16, Chunks: pieceCount, ChunkBytes: pieceBytes,
				},
			},
			{Name: originName, Origin: r.address(groupPlatform, 2, originPort), Zone: zones[0], LinkMbps: 9.9, MaxConns: 48},
			{Name: plainService, HealthPath: "/health", MaxConns: 110},
		},
		Limits:  limitsRow{MaxHeaderBytes: 16384, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Tenants: []tenantRow{{Name: tenantName, APIKeys: []string{tenantKey}, Priority: 1}},
	}
}
