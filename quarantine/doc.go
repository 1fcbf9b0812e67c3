// Package quarantine keeps requests from all servers under which servers end. An
// entry tells it which of its requests were in progress at each server that ended,
// and which have been answered; a ledger of what all entries told decides which
// requests are held. Entries share what they know through a store, so that a
// request that comes again elsewhere, or after a restart, is known there too.
package quarantine
