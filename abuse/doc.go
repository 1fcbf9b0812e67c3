// Package abuse tests the daemons, as separate processes, against crowds of clients that do not keep to the limits and against servers whose
// responses are broken, and checks that a planned stop cuts no request.
package abuse
