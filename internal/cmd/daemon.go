package cmd

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/coralstair/coralstair/bandwidth"
	"github.com/coralstair/coralstair/connlimit"
	"github.com/coralstair/coralstair/dynamo"
	"github.com/coralstair/coralstair/logging"
	"github.com/coralstair/coralstair/settings"
	"github.com/coralstair/coralstair/stricthttp"
	"github.com/coralstair/coralstair/tracing"
)

const (
	traceFlushTimeout = 2 * time.Second
	// heapPercent of an entry's memory is the target of the garbage collector.
	heapPercent = 65
)

// daemon is the common interface of the entry and the box.
type daemon interface {
	// Serve runs until ctx ends and does not drain.
	Serve(ctx context.Context) error
	// Leave drains the daemon.
	Leave(ctx context.Context)
}

// runDaemon runs d until a signal: the first SIGTERM or SIGINT starts a drain, a second one ends it.
// SIGHUP has its own channel, so that many of them cannot crowd out a stop signal.
func (c *Config) runDaemon(ctx context.Context, d daemon, cfg settings.Daemon, role string) error {
	shutdown, err := tracing.Setup(ctx, cfg.OTLPURL, "coralstair-"+role, cfg.ID)
	if err != nil {
		return err
	}
	defer func() {
		flushCtx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		_ = shutdown(flushCtx)
	}()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go ignoreSignals(ctx, hangups, role)
	go func() {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		log.Info(role + ": planned stop")
		leaveCtx, stop := context.WithCancel(ctx)
		go func() {
			<-signals
			stop()
		}()
		d.Leave(leaveCtx)
		cancel()
	}()
	log.WithFields(log.Fields{"id": cfg.ID, "listen": cfg.Listen}).Info(role + ": started")
	return d.Serve(ctx)
}

// ignoreSignals logs and discards signals until ctx ends.
func ignoreSignals(ctx context.Context, signals <-chan os.Signal, role string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			log.Info(role + ": settings are read at the next start")
		}
	}
}

func (c *Config) setupLog(cfg settings.Daemon) error {
	return logging.Setup(c.stderr, cfg.LogFormat, cfg.LogLevel)
}

// newIncarnation returns the start time as text, which distinguishes restarts of a daemon and sorts by time.
func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36)
}

func listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// clientLimits returns what the clients of a daemon may hold of it.
func clientLimits(cfg settings.Daemon) connlimit.Limits {
	return connlimit.NewBudget(cfg.Memory, connlimit.Descriptors()).Share(100)
}

func newTable(p settings.Platform) *dynamo.Table {
	return dynamo.NewTable(dynamo.TableConfig{
		Endpoint: p.TableURL, Table: p.Table, Region: p.Region,
		Credentials: dynamo.Credentials{ID: p.AccessID, Secret: p.Secret},
	})
}

// newObjects returns an object store client whose downloads yield bandwidth to requests.
func newObjects(p settings.Platform, pacer *bandwidth.Pacer) *dynamo.Objects {
	transport := &http.Transport{DialContext: pacer.Dialer(new(net.Dialer).DialContext)}
	return dynamo.NewObjects(dynamo.ObjectsConfig{
		Endpoint: p.ObjectURL, Bucket: p.Bucket, Region: p.Region,
		Credentials: dynamo.Credentials{ID: p.AccessID, Secret: p.Secret},
		Client:      &http.Client{Transport: stricthttp.NewTransport(transport)},
	})
}
