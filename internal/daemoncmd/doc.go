// Package daemoncmd assembles the daemons of the users' platform. It is the only
// package that connects them to the platform adapter.
package daemoncmd
