// Package upstream meets what stands behind a box: a model engine, which takes
// fenced orders to load weights, or a plain service. Both answer over HTTP.
package upstream
