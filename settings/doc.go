// Package settings reads and validates the daemons' INI files and reports all
// errors of a file at once.
package settings
