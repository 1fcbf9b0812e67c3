// Package upstream calls the upstream behind a box over HTTP: a model engine, which accepts fenced orders to load weights, or
// a plain service.
package upstream
