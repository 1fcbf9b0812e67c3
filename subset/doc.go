// Package subset chooses the boxes that an entry hears and whose servers it uses,
// so that what entry and box cost does not grow with the fleet.
package subset
