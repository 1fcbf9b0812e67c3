// Package route chooses the box for a request: by load, with two choices, and
// without the boxes that fail. It is pure and is told the time.
package route
