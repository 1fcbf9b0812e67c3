// Package cmd implements the commands of coralstair, one per file.
package cmd
