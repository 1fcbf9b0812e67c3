package contract

import (
	"maps"
	"reflect"
	"time"
)

// Version numbers the weights of a model; 0 means none.
type Version int64

// Target is the version of a model that should run.
type Target struct {
	Model   string
	Version Version
}

// Server is an upstream on the platform's list.
type Server struct {
	// ID identifies the server, also after a restart.
	ID string
	// Born is the start time of the server's incarnation, in Unix milliseconds by its own clock; 0 if unknown. Incarnations differ in it,
	// but it does not order them, since clocks may be set back.
	Born    int64
	Service string
	// Address is its host and port.
	Address string
	Site    string
	Slots   int
	Leaving bool
	// ColdLeft is how much longer the server stays cold, as of its latest heartbeat.
	ColdLeft time.Duration `cbor:",omitempty"`
	// Loaded maps the models that the server runs to their versions.
	Loaded map[string]Version
}

// LoadedVersion returns the version of a model that the server runs, 0 if none; an empty name matches any model.
func (s *Server) LoadedVersion(model string) Version {
	if model != "" {
		return s.Loaded[model]
	}
	for _, version := range s.Loaded {
		return version
	}
	return 0
}

// Equal reports whether two entries of the list are equal in all fields.
func (s Server) Equal(other Server) bool {
	return s.ID == other.ID && s.Born == other.Born && s.Service == other.Service && s.Address == other.Address && s.Site == other.Site &&
		s.Slots == other.Slots && s.Leaving == other.Leaving && s.ColdLeft == other.ColdLeft && sameLoaded(s.Loaded, other.Loaded)
}

// sameLoaded reports whether two maps of loaded versions are equal. An entry that has not changed keeps its map, and lists of thousands
// are compared with each change, so a map is not compared with itself.
func sameLoaded(a, b map[string]Version) bool {
	return reflect.ValueOf(a).UnsafePointer() == reflect.ValueOf(b).UnsafePointer() || maps.Equal(a, b)
}

// DifferentIncarnations reports whether two start times are of different incarnations of a server; an unknown one matches any.
func DifferentIncarnations(born, other int64) bool {
	return born != 0 && other != 0 && born != other
}

// DiffServers returns the difference of two lists of servers by ID: the servers that are new or differ, and the IDs of those that are
// gone, both in no order.
func DiffServers(old, list map[string]Server) (present []Server, gone []string) {
	for id, server := range list {
		if known, ok := old[id]; !ok || !known.Equal(server) {
			present = append(present, server)
		}
	}
	for id := range old {
		if _, stays := list[id]; !stays {
			gone = append(gone, id)
		}
	}
	return present, gone
}
