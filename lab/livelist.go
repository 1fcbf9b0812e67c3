package lab

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/coralstair/coralstair/membership"
)

// LiveList is a fake of the platform's list of live and leaving boxes.
type LiveList struct {
	Faults Faults

	mu      sync.Mutex
	members map[string]membership.Member
}

// Put adds or replaces a member.
func (l *LiveList) Put(member membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.members == nil {
		l.members = make(map[string]membership.Member)
	}
	l.members[member.ID] = member
}

// Remove removes a member.
func (l *LiveList) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.members, id)
}

// ServeHTTP returns the list on GET and stores one member on PUT.
func (l *LiveList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.Faults.serveFault(w) {
		return
	}
	if r.Method == http.MethodPut {
		var member membership.Member
		if err := json.NewDecoder(r.Body).Decode(&member); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		l.Put(member)
		return
	}
	writeJSON(w, l.sorted())
}

func (l *LiveList) sorted() []membership.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := make([]membership.Member, 0, len(l.members))
	for _, member := range l.members {
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b membership.Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}
