// Package admission decides which requests are let in when there is not room for
// all: first tries before callers that return after a refusal, all kinds of a
// service alike. It is pure: it is told the time, what a request says and what
// waits before it, and knows no connections. Package admit is the queue of
// entries whose requests go through boxes.
package admission
