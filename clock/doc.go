// Package clock tells the time by which daemons judge how old something is. The
// system's steady clock stands still while a machine is suspended, and the time of
// day may be set; this clock goes on through a suspension and is never set. It is
// right again at the first look after one.
package clock
