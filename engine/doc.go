// Package engine predicts how long a model engine takes for a request: the time to its first event and the time to
// decode the rest. It keeps no state; callers pass the engine's parameters and the load.
package engine
