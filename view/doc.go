// Package view keeps what a daemon believes of the world: the newest
// configuration, the versions that should run and the servers there are. It
// follows the platform's store by its feeds, keeps the last known while the
// store is away, and never goes back to an older configuration.
package view
