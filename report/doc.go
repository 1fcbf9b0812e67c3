// Package report tells from the daemons' logs what became of requests: how many
// were in time, late, refused or failed, by second, route, team and site, for
// what reason and by what belief, with versions, fills, starts and losses beside
// them. It reads line by line and keeps counts only, so that logs of any length
// take the same memory.
package report
