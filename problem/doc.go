// Package problem writes errors to callers and operators as problem+json (RFC 9457).
package problem
