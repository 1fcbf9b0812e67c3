// Package retry limits retries by a budget that all entries share. Each entry uses
// its part of the budget without coordination.
package retry
