// Package daemoncmd puts the daemons of the users' platform together: it is the
// one place that chooses package platform as their adapter.
package daemoncmd
