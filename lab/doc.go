// Package lab holds small stand-ins of what the system meets outside itself:
// the platform's table service, object store and live list, model engines and
// plain services. Experiments and tests use them; no user's box does.
package lab
