package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	cutoffServers = 7
	cutoffClients = 48
	freezeTime    = 3 * time.Second
	// crashAfter is how long after the freeze a server crashes, downTime how long it is down.
	crashAfter  = 100 * time.Millisecond
	downTime    = 1200 * time.Millisecond
	rowOutlives = 3600 * time.Millisecond
	rounds      = 2
	// cutoffEvents makes streams last half a second.
	cutoffEvents = 40
)

// playCutoff lets servers answer without a length. An entry freezes for some seconds, and meanwhile a server crashes and starts again.
func playCutoff(r *rig) (broken int, err error) {
	r.events = cutoffEvents
	r.store.put(tableDeclared, keyConfig, r.declaredConfig())
	_, servers, err := r.startModels(cutoffServers)
	if err != nil {
		return 0, err
	}
	for _, s := range servers {
		s.unframed = true
	}
	end := r.startStreams(cutoffClients)
	time.Sleep(3 * time.Second)
	for round := range rounds {
		entry := r.daemons[cutoffServers+round%entryCount]
		old := servers[round]
		if r.trouble {
			r.line("%s freezes", entry.name)
			entry.signal(syscall.SIGSTOP)
		}
		time.Sleep(crashAfter)
		old.crash()
		r.line("server %s crashes", old.id)
		time.AfterFunc(rowOutlives, func() { r.store.put(tableServers, old.id, nil) })
		time.Sleep(downTime)
		if err := old.restart(); err != nil {
			return 0, err
		}
		time.Sleep(freezeTime - crashAfter - downTime)
		if r.trouble {
			entry.signal(syscall.SIGCONT)
			r.line("%s wakes", entry.name)
		}
		time.Sleep(3 * time.Second)
	}
	end()
	for id, events := range r.answers {
		if events == r.events {
			continue
		}
		broken++
		r.line("ORDER: the answer to %s ended as complete after %d of %d events", id, events, r.events)
	}
	if len(r.answers) == 0 {
		return 0, fmt.Errorf("no answer was complete")
	}
	r.printf("%d streams ended as complete, %d of them too early", len(r.answers), broken)
	return broken, nil
}
