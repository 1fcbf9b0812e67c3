package forward

import (
	"reflect"

	"github.com/coralstair/coralstair/contract"
	"github.com/coralstair/coralstair/discovery"
	"github.com/coralstair/coralstair/link"
)

// follower is a box that receives the parts of the configuration and the server list that it needs.
type follower struct {
	service string
	// services and servers are the state sent last; nil before the first message.
	services      []contract.Service
	servers       map[string]contract.Server
	sentStoreLost bool
}

// setFollower makes a box a follower for a service; an empty service ends that.
func (bl *boxLinks) setFollower(conn *link.Conn, service string) {
	bl.mu.Lock()
	if service == "" {
		delete(bl.followers, conn)
	} else {
		bl.followers[conn] = &follower{service: service}
	}
	bl.mu.Unlock()
	bl.wake()
}

// updateFollowers sends all followers what has changed since the last update, and closes links without room.
func (bl *boxLinks) updateFollowers() {
	v := bl.entry.cfg.View
	cfg := v.Config()
	if cfg == nil || !v.Ready() {
		return
	}
	listed := listedByService(v.Servers())
	bl.mu.Lock()
	defer bl.mu.Unlock()
	for conn, f := range bl.followers {
		for _, msg := range f.updates(cfg, listed[f.service], v.StoreReachable()) {
			if !trySend(conn, msg) {
				delete(bl.followers, conn)
				conn.Close()
				break
			}
		}
	}
}

// listedByService returns the servers that are listed now, by service and ID.
func listedByService(servers []discovery.ListedServer) map[string]map[string]contract.Server {
	listed := make(map[string]map[string]contract.Server)
	for _, server := range servers {
		if !server.MissingSince.IsZero() {
			continue
		}
		if listed[server.Service] == nil {
			listed[server.Service] = make(map[string]contract.Server)
		}
		listed[server.Service][server.ID] = server.Server
	}
	return listed
}

// updates returns the messages that a follower lacks, and records them as sent.
func (f *follower) updates(cfg *contract.Config, servers map[string]contract.Server, storeReachable bool) []link.Message {
	if !storeReachable {
		if f.sentStoreLost {
			return nil
		}
		f.sentStoreLost, f.services, f.servers = true, nil, nil
		return []link.Message{&link.Declared{StoreLost: true}}
	}
	f.sentStoreLost = false
	var msgs []link.Message
	if services := neededServices(cfg, f.service); !reflect.DeepEqual(services, f.services) {
		f.services = services
		msgs = append(msgs, &link.Declared{Revision: cfg.Revision, Services: services})
	}
	msg := &link.Servers{Reset: f.servers == nil}
	msg.Present, msg.Gone = contract.DiffServers(f.servers, servers)
	if msg.Reset || len(msg.Present)+len(msg.Gone) > 0 {
		msgs = append(msgs, msg)
	}
	if f.servers = servers; servers == nil {
		f.servers = make(map[string]contract.Server)
	}
	return msgs
}

// neededServices returns the services of a configuration that a box of the given one needs: its own and all origins.
func neededServices(cfg *contract.Config, service string) []contract.Service {
	var services []contract.Service
	if own := cfg.Service(service); own != nil {
		services = append(services, *own)
	}
	for _, origin := range cfg.Origins() {
		services = append(services, *origin)
	}
	return services
}
