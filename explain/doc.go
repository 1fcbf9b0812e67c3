// Package explain reconstructs the course of one request from the daemons' logs: its own lines, and what the daemons then
// knew of its servers and configuration.
package explain
