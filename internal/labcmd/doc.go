// Package labcmd implements the commands of coralstair-lab.
package labcmd
