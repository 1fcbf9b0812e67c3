// Package told holds what entries tell other daemons of what the platform's store
// holds, so that not every daemon has to read it.
package told
