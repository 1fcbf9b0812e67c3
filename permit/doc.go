// Package permit keeps the permits that bound a rollout by construction, as
// conditional writes in the platform's table: draws of a chunk group from the
// origin, replicas that drain at a time, and the epoch of a box's daemon.
package permit
