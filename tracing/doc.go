// Package tracing creates spans for the hops of requests and rollouts and propagates the trace context
// in the traceparent header.
package tracing
