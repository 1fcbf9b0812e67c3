// Package claim makes requests that must not be repeated run at most once: a
// claim is durable in the platform's table before the request is handed on.
package claim
