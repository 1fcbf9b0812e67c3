// Package quarantine withholds requests that crash servers, and prompts with a part that
// does. Each entry records which of its requests were in flight when a server exited, and
// which later got a response. Entries share these records through a store, so that all of
// them recognise a retry, or another prompt with the part.
package quarantine
