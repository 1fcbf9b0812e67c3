// Package admission decides which requests to admit under overload. First tries take precedence over retries, and requests of a more
// urgent rank over those of a less urgent one; routes of one rank are treated alike. In a shortage, teams share the room for requests of
// a rank by the work they ask for. It does no I/O and takes the time as an argument; package admit has the queue.
package admission
