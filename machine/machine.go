package machine

import (
	"net"
	"strconv"
	"time"
)

// Machine is one machine as its settings tell it.
type Machine struct {
	ID      string
	Address string
	Site    string
	// Regions holds the region of each site.
	Regions map[string]string
	// CallersAt and ReadyAt are the addresses to listen at; empty where the machine does not serve that.
	CallersAt string
	ReadyAt   string
	// LinkPort is the port at which boxes take links, alike on all machines.
	LinkPort int
	// StoreAt is the address of the platform's store.
	StoreAt string
	// UpstreamAt and Service are the server on this machine; empty where there is none.
	UpstreamAt string
	Service    string
	// LinkRate is the machine's link in bytes a second.
	LinkRate float64
	Bounds   Bounds
}

// Bounds are the times and shares that operators have set for the system.
type Bounds struct {
	// Drain is how long after it said that it leaves a server may still get requests; 0 where operators have set none.
	Drain time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// Contact is how long a machine has to be undisturbed until the other bounds hold for it; 0 where operators have set none.
	Contact time.Duration
	// Version is how soon after a new version is named no request begins on an older one.
	Version time.Duration
	// RetryRatio of the requests, and RetrySlack more, may be sent a second time within RetryWindow, by all entries together.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
}

// LinkAt returns the address of the box at a host.
func (m *Machine) LinkAt(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(m.LinkPort))
}

// Region returns the region of a site, or the site itself where none is known.
func (m *Machine) Region(site string) string {
	if region, ok := m.Regions[site]; ok {
		return region
	}
	return site
}
