// Package view keeps what a daemon believes of the world: the newest
// configuration, the versions that should run and the servers there are. It
// follows a source, the platform's store or what stands in for it, by its feeds,
// keeps the last known while the source is away, and never goes back to an older
// configuration. Versions may also be named by other daemons.
package view
