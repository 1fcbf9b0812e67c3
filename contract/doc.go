// Package contract holds the configuration that operators declare (routes,
// services, engines, teams, limits, target versions of models) and the listed
// servers. Values are immutable; adapters of the platform create them.
package contract
