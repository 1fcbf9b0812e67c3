// Command review2 plays the cases of the second review: it starts the project's daemons as separate processes on loopback addresses,
// next to stand-ins of the platform, its servers and its clients, and checks one rule on what clients and servers have seen.
package main
