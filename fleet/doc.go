// Package fleet holds the declared state of one fleet: its services, the model
// versions they should run, its teams and the boxes its operators have stopped.
// All values are immutable: a With method returns a changed copy.
package fleet
