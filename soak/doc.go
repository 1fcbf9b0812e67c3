// Package soak runs coralstair's daemons as separate processes on this machine,
// before stand-ins of the users' platform, and harms them from outside:
// processes are killed, paused, stopped and started again, connections delayed,
// reset or silenced by a proxy, and the stand-ins misbehave. Meanwhile callers
// ask, and a judge compares what they and the servers saw with what must hold.
// A run of planned work alone harms nothing and asks that no request is lost.
// Each run follows from its seed, as far as the machine's own timing lets it.
package soak
