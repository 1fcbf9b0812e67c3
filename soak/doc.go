// Package soak tests coralstair under fault injection: it runs the daemons as separate processes against
// stand-ins of the users' platform, injects faults of a seeded plan, and checks invariants on the recorded requests.
// The order of events depends on the seed and on the scheduling of the machine.
package soak
