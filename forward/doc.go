// Package forward implements an entry that calls upstreams directly. It routes callers' requests, chooses a server for each, validates
// responses before passing them on, retries within a budget shared by all entries, and resumes interrupted streams. It receives load
// reports from boxes and sends them target versions, configuration and the server list.
package forward
