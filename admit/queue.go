package admit

import (
	"cmp"
	"container/heap"
	"time"
)

// Item is a request that waits.
type Item struct {
	Team string
	// Weight is the team's share; 0 counts as 1.
	Weight int
	// Priority puts higher numbers of the same team first.
	Priority int
	Deadline time.Time

	seq    uint64
	index  int
	ticket *Ticket
}

// Queue holds the waiting requests of one service, in order; it is not safe for concurrent use.
// The team that has been served least for its weight goes first (stride scheduling).
type Queue struct {
	limit int
	size  int
	seq   uint64
	clock float64
	teams map[string]*teamQueue
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

// Charge counts a request that went ahead without waiting against its team's share.
func (q *Queue) Charge(team string, weight int) {
	t := q.team(team, weight)
	t.pass = max(t.pass, q.clock) + 1/float64(t.weight)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Peek returns the request that goes next.
func (q *Queue) Peek() (*Item, bool) {
	t := q.next()
	if t == nil {
		return nil, false
	}
	return t.items[0], true
}

// Pop removes the request that goes next.
func (q *Queue) Pop() (*Item, bool) {
	t := q.next()
	if t == nil {
		return nil, false
	}
	item := t.items[0]
	q.clock = max(q.clock, t.pass)
	t.pass = max(t.pass, q.clock) + 1/float64(t.weight)
	q.Remove(item)
	return item, true
}

// Push adds a request. When the queue is full the last request of the team that is furthest over its share has to
// go, which may be the new one: it is returned as evicted.
func (q *Queue) Push(item *Item) (evicted *Item) {
	t := q.team(item.Team, item.Weight)
	if len(t.items) == 0 {
		t.pass = max(t.pass, q.clock)
	}
	q.seq++
	item.seq = q.seq
	heap.Push(&t.items, item)
	q.size++
	if q.size <= q.limit {
		return nil
	}
	evicted = q.worst()
	q.Remove(evicted)
	return evicted
}

// Remove takes a request out, wherever it waits; it reports whether it waited.
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

// Last returns the last request of a team, and how many of the team wait.
func (q *Queue) Last(team string) (last *Item, waiting int) {
	t := q.teams[team]
	if t == nil || len(t.items) == 0 {
		return nil, 0
	}
	return t.last(), len(t.items)
}

// Ahead returns how many requests get their turn before one of a team that has n of its own before it, if no more
// come: by weight each other team has so many turns meanwhile, or as many as it has requests.
func (q *Queue) Ahead(team string, weight, n int) int {
	ahead := n
	for name, t := range q.teams {
		if name != team {
			ahead += min(len(t.items), (n+1)*t.weight/max(1, weight))
		}
	}
	return ahead
}

// Waiting returns how many requests of a team wait.
func (q *Queue) Waiting(team string) int {
	t := q.teams[team]
	if t == nil {
		return 0
	}
	return len(t.items)
}

// Teams returns the teams that have requests waiting.
func (q *Queue) Teams() []string {
	var teams []string
	for name, t := range q.teams {
		if len(t.items) > 0 {
			teams = append(teams, name)
		}
	}
	return teams
}

// next returns the team whose turn it is; nil when nobody waits.
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

// worst returns the last request of the team with the most waiting for its weight.
func (q *Queue) worst() *Item {
	var worst *teamQueue
	for _, t := range q.teams {
		if len(t.items) == 0 {
			continue
		}
		if worst == nil || t.over(worst) {
			worst = t
		}
	}
	return worst.last()
}

// last returns the request of the team that would go last.
func (t *teamQueue) last() *Item {
	last := t.items[0]
	for _, item := range t.items {
		if itemLess(last, item) {
			last = item
		}
	}
	return last
}

func (t *teamQueue) over(other *teamQueue) bool {
	mine, theirs := len(t.items)*other.weight, len(other.items)*t.weight
	if mine != theirs {
		return mine > theirs
	}
	return t.items[0].seq > other.items[0].seq
}

// itemHeap orders the requests of one team: priority, then deadline, then arrival.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return itemLess(h[i], h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends an item; it is called by the heap package.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	item.index = len(*h)
	*h = append(*h, item)
}

// Pop removes the last item; it is called by the heap package.
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
