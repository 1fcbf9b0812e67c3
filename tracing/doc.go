// Package tracing makes a span for each hop of a request and of a rollout, and
// carries the trace between processes in the traceparent header.
package tracing
