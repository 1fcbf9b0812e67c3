// Package cmd holds the commands of coralstair, a file each.
package cmd
