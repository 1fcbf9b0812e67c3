package swarm

import (
	"testing"
	"time"
)

// TestReplacedBoxDownloadsNothing checks that a box that returns empty downloads nothing from the origin before a linked peer
// has announced its chunks.
func TestReplacedBoxDownloadsNothing(t *testing.T) {
	const chunks = 16
	all := make([]uint32, chunks)
	for i := range all {
		all[i] = uint32(i)
	}
	members := testMembers(5, 2)
	self, other := members[2], members[0]
	tests := map[string]struct {
		members []Member
		happens func(n *Node)
	}{
		"the link of the announcement is replaced by another": {members, func(n *Node) {
			n.Peer(other)
			n.PeerHas(other.ID, true, all, testStart)
			n.PeerGone(other.ID)
			n.Peer(other)
		}},
		"the link of the announcement has ended":   {members, func(n *Node) { n.Peer(other); n.PeerHas(other.ID, true, all, testStart); n.PeerGone(other.ID) }},
		"a link is up without an announcement":     {members, func(n *Node) { n.Peer(other) }},
		"the list of boxes has not been read yet":  {nil, func(*Node) {}},
		"the list names others, and no link is up": {members, func(*Node) {}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n := NewNode(Params{Self: self, RankDelay: time.Second}, NewOrder("salt", chunks, test.members), nil, testStart)
			test.happens(n)
			for _, action := range n.Next(testStart.Add(100 * time.Millisecond)) {
				if action.Download {
					t.Errorf("chunk %d is downloaded", action.Chunk)
				}
			}
		})
	}
}
