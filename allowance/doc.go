// Package allowance computes each entry's part of an allowance that all entries share
// without a coordinator: how many share it, what was used of it within a window, and what
// others told of their use.
package allowance
