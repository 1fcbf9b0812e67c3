// Package discovery keeps a daemon's copy of the configuration, the target versions
// of models and the list of servers. It follows the feeds of the platform's store,
// keeps the last known state during an outage, and never applies an older configuration.
// Its log messages begin with "view:", which operators' tools match.
package discovery
