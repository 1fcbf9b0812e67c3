package supervise

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/thejerf/suture/v4"
)

// sendTime is how long answers whose handlers are done may take to leave when a daemon ends.
const sendTime = 500 * time.Millisecond

// Part is a named part of a daemon; Run returns when ctx ends.
type Part struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve runs the part.
func (p Part) Serve(ctx context.Context) error { return p.Run(ctx) }

// String names the part in the log.
func (p Part) String() string { return p.Name }

// Daemon is the parts of one daemon.
type Daemon struct {
	Name     string
	Log      log.Interface
	Listener net.Listener
	Server   *http.Server
	Parts    []Part
}

// Run runs named parts until ctx ends; one that ends before is started again.
func Run(ctx context.Context, name string, logger log.Interface, parts []Part) error {
	d := &Daemon{Name: name, Log: logger}
	tree := suture.New(name, suture.Spec{EventHook: d.logEvent})
	for _, part := range parts {
		tree.Add(part)
	}
	if err := tree.Serve(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Run runs the server and all parts until ctx ends, then ends the server once what it has answered has left.
func (d *Daemon) Run(ctx context.Context) error {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		d.closeServer()
	}()
	served := make(chan error, 1)
	go func() { served <- d.Server.Serve(d.Listener) }()
	err := Run(ctx, d.Name, d.Log, d.Parts)
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	<-closed
	return err
}

// closeServer ends the server; answers that take longer to leave are cut off.
func (d *Daemon) closeServer() {
	ctx, cancel := context.WithTimeout(context.Background(), sendTime)
	defer cancel()
	if err := d.Server.Shutdown(ctx); err != nil {
		_ = d.Server.Close()
	}
}

// logEvent logs that a part ended; a panic is logged with its cause, not with its whole stack.
func (d *Daemon) logEvent(event suture.Event) {
	fields := event.Map()
	entry := d.Log.WithField("part", fields["service_name"])
	if panicked, ok := event.(suture.EventServicePanic); ok {
		entry.WithField("panic", panicked.PanicMsg).WithField("stack", panicked.Stacktrace).Error(d.Name + ": a part panicked")
		return
	}
	if event.Type() == suture.EventTypeServiceTerminate {
		entry.WithField("cause", fields["err"]).Warn(d.Name + ": a part ended")
	}
}
