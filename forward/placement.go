package forward

import (
	"time"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/invariant"
)

// evacuationCost is the cost added to servers of a site whose evacuation begins: they get only what others would make wait as long.
const evacuationCost = 300 * time.Millisecond

// evacuatedRetryAfter is the Retry-After of a request that only evacuated sites may serve: operators take an evacuation back seconds or
// hours later.
const evacuatedRetryAfter = 10 * time.Second

// mayServe reports whether the servers of a site may get a request with these homes, and at what added cost. It is the only place that
// decides this; whatever chooses a server or counts the room at servers asks it.
func (e *Entry) mayServe(homes contract.Homes, site string) (cost time.Duration, ok bool) {
	if homes.Limited() && !homes.Allow(e.cfg.Machine.Region(site)) {
		return 0, false
	}
	switch phase, _ := e.cfg.View.Evacuation(site); phase {
	case discovery.Evacuated:
		return 0, false
	case discovery.EvacuationBegins:
		return evacuationCost, true
	default:
		return 0, true
	}
}

// anySite reports whether some server of a service is in a site that may serve requests with these homes; true if no server is known.
func (e *Entry) anySite(service string, homes contract.Homes) bool {
	known := false
	for _, ups := range [][]*upstream{e.upstreams.preferred(service), e.upstreams.fallback(service)} {
		for _, up := range ups {
			known = true
			if _, may := e.mayServe(homes, up.site()); may {
				return true
			}
		}
	}
	return !known
}

// pool names the servers that may serve a call: admission counts their room only. Where ranks differ all calls for a service share one pool:
// requests compete at each server with those of other homes.
func (c *call) pool() string {
	if c.ranked || !c.homes.Limited() {
		return c.service.Name
	}
	return c.service.Name + "@" + c.homes.String()
}

// staysHome checks that a request is sent to a region that may serve it.
func (a *attempt) staysHome() bool {
	c := a.call
	if !c.homes.Limited() {
		return true
	}
	region := c.entry.cfg.Machine.Region(a.choice.server.Site)
	return c.entry.cfg.Checks.Check(c.homes.Allow(region), invariant.StaysHome, "request %s with homes %s was about to be sent to %s in %s",
		c.info.ID, c.homes, a.choice.server.ID, region)
}

func (u *upstream) site() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.server.Site
}
