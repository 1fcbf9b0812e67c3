// Package claim runs non-idempotent requests at most once: a claim on the caller's
// key is stored in the platform's table before the request is forwarded.
package claim
