// Package route chooses the box for a request: the less loaded of two random
// candidates, without ejected boxes. It does no I/O and takes the time as an argument.
package route
