package upstream

// Fence is a fencing token: an upstream that checks it refuses an order older than the newest it accepted.
type Fence struct {
	// Epoch counts the daemons of the box.
	Epoch int64 `json:"epoch"`
	// Revision is the configuration's revision.
	Revision uint64 `json:"revision"`
	// Number counts the daemon's orders.
	Number int64 `json:"number"`
}

// Less reports whether f is older than other.
func (f Fence) Less(other Fence) bool {
	if f.Epoch != other.Epoch {
		return f.Epoch < other.Epoch
	}
	if f.Revision != other.Revision {
		return f.Revision < other.Revision
	}
	return f.Number < other.Number
}

// Action is what an order asks for.
type Action string

// The actions of an order.
const (
	ActionLoad   Action = "load"
	ActionUnload Action = "unload"
)

// Order tells an engine to load weights from Source, or to unload them.
type Order struct {
	Fence   Fence  `json:"fence"`
	Action  Action `json:"action"`
	Service string `json:"service"`
	Version string `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Size    int64  `json:"size,omitempty"`
	Source  string `json:"source,omitempty"`
}

// Phase is what an engine is doing.
type Phase string

// The phases of an engine.
const (
	PhaseEmpty   Phase = "empty"
	PhaseLoading Phase = "loading"
	PhaseReady   Phase = "ready"
	PhaseFailed  Phase = "failed"
)

// State is what an engine reports; Digest is that of the whole weights it has loaded.
type State struct {
	Phase   Phase  `json:"phase"`
	Version string `json:"version,omitempty"`
	Digest  string `json:"digest,omitempty"`
	Fence   Fence  `json:"fence"`
	Error   string `json:"error,omitempty"`
}
