// Package lab holds fakes of the external systems that the daemons use (table
// service, object store, live list, model engines, plain services) and the
// experiments that run on them. It is not part of a deployment.
package lab
