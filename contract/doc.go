// Package contract holds what operators have agreed for callers: routes,
// services with their engines, teams with their keys, limits, the versions of
// models that should run, and the servers on which all of this runs. Values are
// immutable; adapters fill them in, daemons decide by them.
package contract
