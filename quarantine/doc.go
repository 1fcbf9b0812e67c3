// Package quarantine withholds requests that crash servers. Each entry records which
// of its requests were in flight when a server exited, and which later got a response.
// Entries share these records through a store, so that all of them recognise a retry.
package quarantine
