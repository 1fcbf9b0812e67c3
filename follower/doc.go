// Package follower keeps the newest known configuration of a fleet. A daemon gets
// it from its peers, or polls the table while no peer reports a revision.
package follower
