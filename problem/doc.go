// Package problem encodes errors as problem+json (RFC 9457).
package problem
