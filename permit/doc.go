// Package permit limits a rollout by conditional writes to the platform's table:
// downloads of a chunk group from the origin, replicas that drain at the same time,
// and the epoch that fences earlier daemons of a box.
package permit
