package daemoncmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"github.com/coralstair/coralstair/fill"
	"github.com/coralstair/coralstair/forward"
	"github.com/coralstair/coralstair/machine"
	"github.com/coralstair/coralstair/platform"
	"github.com/coralstair/coralstair/supervise"
	"github.com/coralstair/coralstair/view"
)

// MetricsPort and MetricsPath are where a daemon tells its counters, at the machine's address.
const (
	MetricsPort = 9464
	MetricsPath = "/metrics"
)

const (
	storeDialTime = time.Second
	storeIdle     = 30 * time.Second
	clientBuffer  = 2 << 10
	keepProbe     = time.Second
	keepProbes    = 2
	headerTime    = 5 * time.Second
)

// daemon is what an entry and a box have in common as processes.
type daemon interface {
	Parts() []supervise.Part
}

// leaver is a daemon that a planned stop has to wait for.
type leaver interface {
	Leave(ctx context.Context)
}

// role is what one kind of daemon is made of; listSettle is how old its list of servers may be, for fewer calls.
type role struct {
	name       string
	listSettle time.Duration
	build      func(m machine.Machine, v *view.View, logger log.Interface) (daemon, error)
}

var (
	entryRole = role{name: "entry", build: newEntry}
	boxRole   = role{name: "box", build: newBox, listSettle: boxListSettle}
)

// boxListSettle is longer than an entry's: a box that is new reads the whole list, and the others hear from it.
const boxListSettle = 1500 * time.Millisecond

func newEntry(m machine.Machine, v *view.View, logger log.Interface) (daemon, error) {
	callers, err := net.Listen("tcp", m.CallersAt)
	if err != nil {
		return nil, err
	}
	ready, err := net.Listen("tcp", m.ReadyAt)
	if err != nil {
		return nil, err
	}
	return forward.New(forward.Config{Machine: m, View: v, Wire: platform.Wire{}, Log: logger, Callers: callers, Ready: ready}), nil
}

func newBox(m machine.Machine, v *view.View, logger log.Interface) (daemon, error) {
	listener, err := net.Listen("tcp", m.LinkAt(m.Address))
	if err != nil {
		return nil, err
	}
	return fill.New(fill.Config{
		Machine: m, View: v, Log: logger, Listener: listener,
		Engine: platform.NewEngine(m.UpstreamAt, newClient()), Origin: platform.NewOrigin(newOriginClient()),
	}), nil
}

// newOriginClient returns a client that keeps no connection: the origin takes fewer than there are boxes.
func newOriginClient() *http.Client {
	client := newClient()
	if transport, ok := client.Transport.(*http.Transport); ok {
		transport.DisableKeepAlives = true
	}
	return client
}

func newClient() *http.Client {
	dialer := &net.Dialer{
		Timeout:         storeDialTime,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepProbe, Interval: keepProbe, Count: keepProbes},
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, DisableCompression: true, IdleConnTimeout: storeIdle,
		ReadBufferSize: clientBuffer, WriteBufferSize: clientBuffer,
	}}
}

// run runs one daemon until a signal: SIGHUP reads the settings again, SIGTERM asks for a planned stop, a second one ends
// it at once.
func run(ctx context.Context, of role, path string, logger log.Interface) error {
	started := time.Now()
	m, err := platform.LoadMachine(path)
	if err != nil {
		return err
	}
	logger = logger.WithField("node", m.ID)
	if m.UpstreamAt != "" {
		logger = logger.WithField("upstream", m.UpstreamAt)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	v := view.New(platform.NewStore(m.StoreAt, newClient()), view.Options{
		Log: logger, VersionBound: m.Bounds.Version, ServersSettle: of.listSettle,
	})
	d, err := of.build(m, v, logger)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		stop(ctx, signals, path, logger, d)
		cancel()
	}()
	parts := append([]supervise.Part{
		{Name: "declared", Run: v.ServeDeclared},
		{Name: "servers", Run: v.ServeServers},
		{Name: "metrics", Run: serveMetrics(m.Address)},
	}, d.Parts()...)
	logger.WithFields(log.Fields{"role": of.name, "id": m.ID, "site": m.Site, "pid": os.Getpid()}).Info("daemon: started")
	err = supervise.Run(ctx, of.name, logger, parts)
	logger.WithFields(log.Fields{"role": of.name, "id": m.ID, "ran_ms": time.Since(started).Milliseconds()}).Info("daemon: stopped")
	return err
}

// stop returns when the daemon has left or must end at once.
func stop(ctx context.Context, signals <-chan os.Signal, path string, logger log.Interface, d daemon) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-signals:
			if received == syscall.SIGHUP {
				reload(path, logger)
				continue
			}
			logger.WithField("signal", received.String()).Info("daemon: planned stop")
			if leaver, ok := d.(leaver); ok {
				leave(ctx, signals, leaver)
			}
			return
		}
	}
}

// leave waits until the daemon has left; a second signal to stop ends the waiting.
func leave(ctx context.Context, signals <-chan os.Signal, d leaver) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case received := <-signals:
				if received != syscall.SIGHUP {
					cancel()
					return
				}
			}
		}
	}()
	d.Leave(ctx)
}

// reload reads the settings again; what they hold of this machine's place and addresses only counts at the next start.
func reload(path string, logger log.Interface) {
	if _, err := platform.LoadMachine(path); err != nil {
		logger.WithField("cause", err.Error()).Error("daemon: settings cannot be read; the last ones stay")
		return
	}
	logger.Info("daemon: settings read again")
}

func serveMetrics(address string) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		listener, err := net.Listen("tcp", net.JoinHostPort(address, strconv.Itoa(MetricsPort)))
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		mux.HandleFunc(MetricsPath, func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
		server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return ctx.Err()
	}
}
