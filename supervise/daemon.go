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

// shutdownTimeout limits the time to send responses that handlers have already written.
const shutdownTimeout = 500 * time.Millisecond

// Component is a named component of a daemon. Run must return when ctx ends.
type Component struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (c Component) Serve(ctx context.Context) error { return c.Run(ctx) }

// String returns the name for the log.
func (c Component) String() string { return c.Name }

// Daemon is an HTTP server and the components that run beside it.
type Daemon struct {
	Name       string
	Log        log.Interface
	Listener   net.Listener
	Server     *http.Server
	Components []Component
}

// Run runs components until ctx ends and restarts those that return early.
func Run(ctx context.Context, name string, logger log.Interface, components []Component) error {
	d := &Daemon{Name: name, Log: logger}
	tree := suture.New(name, suture.Spec{EventHook: d.logEvent})
	for _, component := range components {
		tree.Add(component)
	}
	if err := tree.Serve(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// Run runs the server and all components until ctx ends, then shuts the server down once written responses are sent.
func (d *Daemon) Run(ctx context.Context) error {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		<-ctx.Done()
		d.closeServer()
	}()
	served := make(chan error, 1)
	go func() { served <- d.Server.Serve(d.Listener) }()
	err := Run(ctx, d.Name, d.Log, d.Components)
	if serveErr := <-served; !errors.Is(serveErr, http.ErrServerClosed) {
		err = errors.Join(err, serveErr)
	}
	<-closed
	return err
}

// closeServer shuts the server down and closes connections still open after shutdownTimeout.
func (d *Daemon) closeServer() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := d.Server.Shutdown(ctx); err != nil {
		_ = d.Server.Close()
	}
}

// logEvent logs the failure or panic of a component.
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
