package soak

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/coralstair/coralstair/lab/standin"
)

const (
	// homePath begins the paths of routes that only the servers of homeSite may serve.
	homePath = "/home/"
	homeSite = "north"
	// Servers are cold for coldTime after a start and bear coldRate requests a second meanwhile, of which coldFactor times as many plus
	// coldSlack may arrive in any second.
	coldTime   = 2 * time.Second
	coldRate   = 6.0
	coldFactor = 1.5
	coldSlack  = 5
	// siteWeight is how many times as frequent as other faults those of sites are.
	siteWeight = 6
	// homeShare and slowShare are the fractions of requests that have homes, and whose caller reads slowly.
	homeShare = 0.2
	slowShare = 0.05
	slowRead  = 60 * time.Millisecond
)

// evacuation is an evacuation of a zone; calm says that nothing else went wrong.
type evacuation struct {
	zone               string
	acked, takenBackAt time.Time
	calm               bool
}

// withHomes returns the route under another prefix with homes.
func withHomes(route standin.Route, prefix string) standin.Route {
	route.Name, route.PathPrefix, route.HomeRegions = route.Name+" with homes", prefix, []string{homeSite}
	return route
}

// addSiteTraits gives some requests homes, or a caller that reads slowly.
func (c *caller) addSiteTraits(o *outcome) {
	if c.rng.Float64() < homeShare && o.kind != kindSafe {
		o.request.Path = homePath + strings.TrimPrefix(o.request.Path, "/")
	}
	if c.rng.Float64() < slowShare {
		o.request.ReadDelay = slowRead
	}
}

// evacuate declares a zone evacuated and returns the function that takes it back.
func (r *rig) evacuate(zone string, calm bool) (takeBack func()) {
	r.store.Put(standin.TableDeclared, standin.KeyEvacuate+zone, struct{}{})
	e := evacuation{zone: zone, acked: time.Now(), calm: calm}
	return func() {
		e.takenBackAt = time.Now()
		r.store.Put(standin.TableDeclared, standin.KeyEvacuate+zone, nil)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.evacuations = append(r.evacuations, e)
	}
}

// evacuateInCalm evacuates a zone while nothing else goes wrong.
func (r *rig) evacuateInCalm(ctx context.Context) {
	sleep(ctx, bounds.Contact)
	takeBack := r.evacuate(sites[1], true)
	sleep(ctx, bounds.Evacuate+2*time.Second)
	takeBack()
}

// siteFaults are evacuations, servers that turn cold, and zones whose servers return together.
func (r *rig) siteFaults(intN func(int) int) []func() fault {
	all := r.servers()
	return []func() fault{
		func() fault {
			zone := sites[intN(len(sites))]
			var takeBack func()
			return fault{name: "evacuate " + zone, planned: true, do: func() { takeBack = r.evacuate(zone, false) }, undo: func() { takeBack() }}
		},
		func() fault {
			s := all[intN(len(all))]
			return fault{name: "turn cold " + s.Address, planned: true, do: func() { s.TurnCold(coldTime) }, undo: func() {}}
		},
		func() fault {
			zone := sites[intN(len(sites))]
			inZone := slices.DeleteFunc(slices.Clone(all), func(s *standin.Server) bool { return s.Zone != zone })
			return fault{
				name: "return of " + zone,
				do: func() {
					for _, s := range inZone {
						s.Crash()
					}
				},
				undo: func() {
					for _, s := range inZone {
						r.restart(s, false)
					}
				},
			}
		},
	}
}

// checkSites checks that requests stay in their homes, that evacuated zones get nothing new, and that cold servers get what they bear.
func (c *checker) checkSites() {
	for _, a := range c.arrivals {
		o, known := c.outcomeByID[a.ID]
		if known && strings.HasPrefix(o.request.Path, homePath) && a.Zone != homeSite {
			c.reportf("home: %s arrived in %s", a.ID, a.Zone)
		}
		for _, e := range c.rig.evacuations {
			if a.Zone == e.zone && a.At.After(e.acked.Add(bounds.Evacuate)) && a.At.Before(e.takenBackAt) && (e.calm || !c.disturbed(e.acked, a.At)) {
				c.reportf("evacuation: %s arrived in %s %s after its evacuation was acknowledged", a.ID, a.Zone, a.At.Sub(e.acked))
			}
		}
	}
	c.checkCold()
}

// disturbed reports whether a fault may have kept an entry from hearing of what was acknowledged at from, by a time.
func (c *checker) disturbed(from, by time.Time) bool {
	return slices.ContainsFunc(c.faultSpans, func(s faultSpan) bool {
		return (!s.planned || strings.HasPrefix(s.name, "stop")) && s.from.Before(by) && s.to.Add(bounds.Contact).After(from)
	})
}

// checkCold checks the arrivals at each server while it was cold, from whatever entry.
func (c *checker) checkCold() {
	for _, span := range c.rig.runs.ColdSpans() {
		var arrived []time.Time
		for _, a := range c.arrivals {
			if a.Server == span.Server && !a.At.Before(span.From) && a.At.Before(span.To) {
				arrived = append(arrived, a.At)
			}
		}
		for i, from := range arrived {
			n := 0
			for _, at := range arrived[i:] {
				if at.Before(from.Add(time.Second)) {
					n++
				}
			}
			if allowed := coldFactor*coldRate + coldSlack; float64(n) > allowed {
				c.reportf("cold: %s got %d requests in a second while cold, allowed %.0f", span.Server, n, allowed)
				break
			}
		}
	}
}
