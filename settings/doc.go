// Package settings reads the daemons' INI files into typed values and checks
// them whole before anything starts: all that is wrong is listed together.
package settings
