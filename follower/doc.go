// Package follower keeps the newest configuration of a fleet that a daemon has
// seen: from its links while it hears of it there, else from the table.
package follower
