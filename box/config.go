package box

import (
	"net"
	"net/http"
	"time"

	"github.com/coralstair/coralstair/bandwidth"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/fleet"
	"github.com/coralstair/coralstair/follower"
	"github.com/coralstair/coralstair/invariant"
	"github.com/coralstair/coralstair/membership"
	"github.com/coralstair/coralstair/permit"
	"github.com/coralstair/coralstair/swarm"
	"github.com/coralstair/coralstair/transfer"
)

// DefaultDrainLimit is the default of Config.DrainLimit.
const DefaultDrainLimit = 10 * time.Minute

// Config holds a box's settings and the services that it uses.
type Config struct {
	ID          string
	Fleet       string
	Site        string
	Service     string
	Kind        fleet.Kind
	Incarnation string

	// Listener accepts links, and the upstream's requests for weights.
	Listener net.Listener
	// Limits bound what clients hold of the box.
	Limits connlimit.Limits
	// Advertise is the host and port at which the upstream reaches Listener.
	Advertise string
	// UpstreamURL is the base URL of the upstream.
	UpstreamURL string
	// UncheckedFences says that the upstream accepts orders without checking their fence.
	UncheckedFences bool
	// ResumesStreams says that the engine resumes an interrupted stream after the events named in X-Resume-Events.
	ResumesStreams bool
	// WeightsLimit is the memory for weights in bytes; 0 means no limit.
	WeightsLimit int64
	// Slots is how many requests the upstream takes at a time; 0 means that the box sets no limit.
	Slots int
	// Pacer shares the box's link between requests and chunks; reads from Origin must be paced by it as well.
	Pacer *bandwidth.Pacer
	// DrainLimit is how long a leaving box waits for requests in progress.
	DrainLimit time.Duration
	// Params tune the transfer of weights; the box sets Self.
	Params swarm.Params

	Ledger follower.Ledger
	Table  permit.Table
	Origin transfer.Origin
	List   membership.List
	// ListInterval is how often the list of live boxes is read; 0 means the default.
	ListInterval time.Duration
	// LinkClient dials other boxes; nil means http.DefaultClient.
	LinkClient *http.Client
	// UpstreamClient calls the upstream; nil means the default one of package upstream.
	UpstreamClient *http.Client
	Checks         *invariant.Recorder
}

func (c Config) withDefaults() Config {
	if c.DrainLimit == 0 {
		c.DrainLimit = DefaultDrainLimit
	}
	if c.Kind == "" {
		c.Kind = fleet.KindModel
	}
	if c.Checks == nil {
		c.Checks = new(invariant.Recorder)
	}
	if c.Pacer == nil {
		c.Pacer = bandwidth.New(0)
	}
	c.Params.Self = swarm.Member{ID: c.ID, Site: c.Site}
	return c
}
