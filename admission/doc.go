// Package admission decides which requests to admit under overload: first tries
// take precedence over retries, and all routes of a service are treated alike. It
// does no I/O and takes the time as an argument; package admit has the queue.
package admission
