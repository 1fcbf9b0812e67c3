// Package report summarises request outcomes from the daemons' logs by second, route, team and site, with reasons, prediction
// errors, version rollouts and daemon restarts. It reads line by line and keeps only counts, so that memory use is bounded.
package report
