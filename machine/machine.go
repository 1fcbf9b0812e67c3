package machine

import (
	"net"
	"strconv"
	"time"
)

// Machine is one machine as described by its settings file.
type Machine struct {
	ID      string
	Address string
	Site    string
	// Regions maps each site to its region.
	Regions map[string]string
	// CallerAddress and ReadyAddress are listen addresses for callers' requests and readiness checks; empty if not served.
	CallerAddress string
	ReadyAddress  string
	// LinkPort is the port on which boxes accept links, the same on all machines.
	LinkPort int
	// StoreAddress is the address of the platform's store.
	StoreAddress string
	// UpstreamAddress and Service are the address and service of the server on this machine; empty if there is none.
	UpstreamAddress string
	Service         string
	// LinkRate is the bandwidth of the machine's link in bytes per second.
	LinkRate float64
	// Memory is the memory of the daemon in bytes; 0 if not limited.
	Memory int64
	// Descriptors is how many sockets the daemon may have open; 0 if not limited.
	Descriptors int
	Bounds      Bounds
}

// Bounds are the time and retry limits set by operators.
type Bounds struct {
	// Drain is how long a server may get requests after it has announced that it leaves; 0 if not set.
	Drain time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// Contact is how long a machine must be free of faults before the other bounds apply to it; 0 if not set.
	Contact time.Duration
	// Evacuate is how long requests may still reach a site after its evacuation is declared; 0 if not set.
	Evacuate time.Duration
	// Version is how long requests may still start on an older version after a new one is named.
	Version time.Duration
	// RetryRatio of the requests, plus RetrySlack, may be retried within RetryWindow, summed over all entries.
	RetryRatio  float64
	RetrySlack  int
	RetryWindow time.Duration
}

// LinkAddress returns the link address of the box on a host.
func (m *Machine) LinkAddress(host string) string {
	return net.JoinHostPort(host, strconv.Itoa(m.LinkPort))
}

// Region returns the region of a site, or the site itself if its region is unknown.
func (m *Machine) Region(site string) string {
	if region, ok := m.Regions[site]; ok {
		return region
	}
	return site
}
