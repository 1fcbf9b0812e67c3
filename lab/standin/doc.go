// Package standin stands in for the users' platform in tests, and so is the one
// place beside package platform that speaks its words: its store, the
// origin of weights, model servers and plain services, as far as coralstair
// speaks with them. Servers record what they ran and whose weights they held,
// so that a judge can compare with what callers were told. Faults are set from
// outside while it runs.
package standin
