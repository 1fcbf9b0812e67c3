package contract

import "reflect"

// Version numbers the weights of a model; 0 means none.
type Version int64

// Target is the version of a model that should run.
type Target struct {
	Model   string
	Version Version
}

// Server is one upstream on the platform's list.
type Server struct {
	// ID stands for one life of the server.
	ID      string
	Service string
	// Address is its host and port.
	Address string
	Site    string
	Slots   int
	Leaving bool
	// Loaded holds the versions of the models that it runs.
	Loaded map[string]Version
}

// Runs returns the version of a model that the server runs, 0 for none; an empty name stands for any model.
func (s *Server) Runs(model string) Version {
	if model != "" {
		return s.Loaded[model]
	}
	for _, version := range s.Loaded {
		return version
	}
	return 0
}

// Changes returns what a list of servers by id tells that an older one did not: those that are new or differ, and the ids
// of those that are gone, both in no order.
func Changes(old, list map[string]Server) (present []Server, gone []string) {
	for id, server := range list {
		if known, ok := old[id]; !ok || !reflect.DeepEqual(known, server) {
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
