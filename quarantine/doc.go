// Package quarantine decides which requests are kept from all servers because
// servers end under them. It knows nothing of a network: callers tell it which
// requests were in progress at each server that ended, and which have been
// answered; it tells which are held.
package quarantine
