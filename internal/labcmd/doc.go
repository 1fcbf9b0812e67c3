// Package labcmd holds the commands of coralstair-lab, a file each.
package labcmd
