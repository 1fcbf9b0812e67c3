// Package admit queues the requests of each service for a box. The queue is bounded
// and fair between teams; within a team it orders by priority, then deadline.
// Requests that cannot meet their deadline are refused without waiting.
package admit
