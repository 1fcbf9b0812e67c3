// Package standin is a fake of the users' platform for tests: its store, the
// origin of weights, model servers and plain services. It uses the platform's
// wire formats and records what servers ran, so that tests can check the
// callers' responses. Tests inject faults while it runs.
package standin
