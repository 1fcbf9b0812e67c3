// Package abuse tests the daemons, as separate processes, against crowds of clients that do not keep to the limits.
package abuse
