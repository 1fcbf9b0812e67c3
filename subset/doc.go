// Package subset selects the boxes whose reports an entry receives and whose servers it uses, so that the number of links
// does not grow with the fleet.
package subset
