package admit

import (
	"cmp"
	"container/heap"
	"time"
)

// Item is a waiting request.
type Item struct {
	Team string
	// Weight is the team's relative share; 0 counts as 1.
	Weight int
	// Priority orders the requests of a team, highest first.
	Priority int
	Deadline time.Time

	seq    uint64
	index  int
	ticket *Ticket
}

// Queue orders the waiting requests of one service by stride scheduling over the teams. It is not safe for concurrent use.
type Queue struct {
	limit       int
	size        int
	seq         uint64
	virtualTime float64
	teams       map[string]*teamQueue
}

type teamQueue struct {
	items  itemHeap
	weight int
	pass   float64
}

// NewQueue returns an empty queue for at most limit requests.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, teams: make(map[string]*teamQueue)}
}

// Charge counts a request that did not have to wait against its team's share.
func (q *Queue) Charge(team string, weight int) {
	t := q.team(team, weight)
	t.pass = max(t.pass, q.virtualTime) + 1/float64(t.weight)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Peek returns the next request without removing it.
func (q *Queue) Peek() (*Item, bool) {
	t := q.next()
	if t == nil {
		return nil, false
	}
	return t.items[0], true
}

// Pop removes and returns the next request.
func (q *Queue) Pop() (*Item, bool) {
	t := q.next()
	if t == nil {
		return nil, false
	}
	item := t.items[0]
	q.virtualTime = max(q.virtualTime, t.pass)
	t.pass = max(t.pass, q.virtualTime) + 1/float64(t.weight)
	q.Remove(item)
	return item, true
}

// Push adds a request. When the queue is full it evicts and returns the last request of the team with the most requests for
// its weight, which may be the new one.
func (q *Queue) Push(item *Item) (evicted *Item) {
	t := q.team(item.Team, item.Weight)
	if len(t.items) == 0 {
		t.pass = max(t.pass, q.virtualTime)
	}
	q.seq++
	item.seq = q.seq
	heap.Push(&t.items, item)
	q.size++
	if q.size <= q.limit {
		return nil
	}
	evicted = q.evictionCandidate()
	q.Remove(evicted)
	return evicted
}

// Remove removes a request and reports whether it was in the queue.
func (q *Queue) Remove(item *Item) bool {
	t := q.teams[item.Team]
	if t == nil || item.index < 0 || item.index >= len(t.items) || t.items[item.index] != item {
		return false
	}
	heap.Remove(&t.items, item.index)
	item.index = -1
	q.size--
	return true
}

// Last returns a team's last request and how many requests of the team wait.
func (q *Queue) Last(team string) (last *Item, waiting int) {
	t := q.teams[team]
	if t == nil || len(t.items) == 0 {
		return nil, 0
	}
	return t.lastItem(), len(t.items)
}

// Ahead returns how many requests go before one that is behind n others of its team, if no more arrive. By stride scheduling
// each other team gets turns in proportion to its weight, up to its number of requests.
func (q *Queue) Ahead(team string, weight, n int) int {
	ahead := n
	for name, t := range q.teams {
		if name != team {
			ahead += min(len(t.items), (n+1)*t.weight/max(1, weight))
		}
	}
	return ahead
}

// Waiting returns the number of a team's waiting requests.
func (q *Queue) Waiting(team string) int {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return len(t.items)
}

// Teams returns the teams with waiting requests.
func (q *Queue) Teams() []string {
	var teams []string
	for name, t := range q.teams {
		if len(t.items) > 0 {
			teams = append(teams, name)
		}
	}
	return teams
}

// next returns the team to serve next, nil if the queue is empty.
func (q *Queue) next() *teamQueue {
	var best *teamQueue
	for _, t := range q.teams {
		if len(t.items) == 0 {
			continue
		}
		if best == nil || t.pass < best.pass || t.pass == best.pass && t.items[0].seq < best.items[0].seq {
			best = t
		}
	}
	return best
}

func (q *Queue) team(name string, weight int) *teamQueue {
	t := q.teams[name]
	if t == nil {
		t = &teamQueue{}
		q.teams[name] = t
	}
	t.weight = max(1, weight)
	return t
}

// evictionCandidate returns the last request of the team with the most requests for its weight.
func (q *Queue) evictionCandidate() *Item {
	var largest *teamQueue
	for _, t := range q.teams {
		if len(t.items) == 0 {
			continue
		}
		if largest == nil || t.exceeds(largest) {
			largest = t
		}
	}
	return largest.lastItem()
}

func (t *teamQueue) lastItem() *Item {
	last := t.items[0]
	for _, item := range t.items {
		if itemLess(last, item) {
			last = item
		}
	}
	return last
}

func (t *teamQueue) exceeds(other *teamQueue) bool {
	mine, theirs := len(t.items)*other.weight, len(other.items)*t.weight
	if mine != theirs {
		return mine > theirs
	}
	return t.items[0].seq > other.items[0].seq
}

// itemHeap orders the requests of one team by priority, then deadline, then arrival.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return itemLess(h[i], h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return item
}

func itemLess(a, b *Item) bool {
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if order := cmp.Compare(a.Deadline.UnixNano(), b.Deadline.UnixNano()); order != 0 {
		return order < 0
	}
	return a.seq < b.seq
}
