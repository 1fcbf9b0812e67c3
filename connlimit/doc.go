// Package connlimit bounds what the clients of a process may hold of it: open connections, and the memory of requests that have not
// arrived whole. When a bound is reached, connections are closed in favour of others: first those whose request has been incomplete for
// long, so that clients which send theirs at once get in whatever others hold.
package connlimit
