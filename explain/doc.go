// Package explain tells the story of one request from the logs of the daemons:
// its own lines, and what was believed of its servers and configuration then.
package explain
