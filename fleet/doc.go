// Package fleet holds the declared state of a fleet: services, model versions,
// teams and stopped boxes. Values are immutable; a With method returns a changed
// copy.
package fleet
