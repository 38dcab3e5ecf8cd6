// Command lentiltide-node runs one instance of a cell on the users' platform. Every instance runs the same program; its
// addresses and limits come from the settings file that LENTILTIDE_CONFIG or --settings names.
package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/platform"
	"github.com/lentiltide/lentiltide/process/node"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/process/telemetry"
	"github.com/lentiltide/lentiltide/version/cell"
)

type arguments struct {
	Settings string `arg:"--settings,env:LENTILTIDE_CONFIG,required" help:"path of the JSON settings file"`
}

// Description implements the help text of go-arg.
func (arguments) Description() string {
	return "lentiltide-node runs one instance of a lentiltide cell on the users' platform."
}

const (
	// maxLease bounds the leases, so that the tasks of a lost worker start elsewhere soon. It exceeds a change of the leader.
	maxLease = 6 * time.Second
	// memoryShare is the part of the instance's memory that the runtime aims to stay below.
	memoryShare = 0.7
	// gracePart is the part of the grace period after which the process ends although callers are connected.
	gracePart = 0.75
	// drainTime is how long a leaving instance goes on accepting connections: the platform stops sending new ones after two
	// failed questions for readiness, a second apart.
	drainTime = 2500 * time.Millisecond
	// logFlush bounds the writing of the last log lines.
	logFlush = 200 * time.Millisecond
	// headerTimeout bounds how long a connection may take to send the headers of a request.
	headerTimeout = 5 * time.Second
	// takeoverSpan is by how much the smallest instance stays behind the largest one in a takeover.
	takeoverSpan = 200 * time.Millisecond
)

func main() {
	var args arguments
	arg.MustParse(&args)
	// Without this, a write to standard output whose reader is gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
	out := telemetry.NewAsyncWriter(os.Stdout)
	log := telemetry.NewLogger(out, logrus.InfoLevel)
	telemetry.AdoptKratosLog(log)
	err := run(args, log, out.Dropped)
	if err != nil {
		log.WithError(err).WithField("event", "failed").Error("instance failed")
	}
	out.Close(logFlush)
	if err != nil {
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, then leaves gracefully.
func run(args arguments, log *logrus.Logger, dropped func() uint64) error {
	s, err := settings.LoadNode(args.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	log.SetLevel(s.Level())
	entry := log.WithFields(logrus.Fields{"instance": s.Instance, "zone": s.Zone})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	in, err := build(s, entry, dropped)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := in.start(ctx)
	entry.WithFields(logrus.Fields{"event": "started", "caller_address": s.CallerAddress, "peer_address": s.PeerAddress}).Info("instance started")
	for {
		select {
		case err := <-failed:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(args, log)
				continue
			}
			entry.WithFields(logrus.Fields{"event": "stopping", "signal": sig.String()}).Info("instance leaves")
			in.leave(time.Duration(s.GraceS * float64(time.Second)))
			entry.WithField("event", "stopped").Info("instance stopped")
			return nil
		}
	}
}

// reload reads the settings again. Only the log level takes effect without a restart.
func reload(args arguments, log *logrus.Logger) {
	s, err := settings.LoadNode(args.Settings)
	if err != nil {
		log.WithError(err).WithField("event", "reload_refused").Error("settings cannot be used; the former ones stay in force")
		return
	}
	log.SetLevel(s.Level())
	log.WithFields(logrus.Fields{"event": "reloaded", "log_level": s.LogLevel}).Info("settings reloaded")
}

// instance is the node with its servers.
type instance struct {
	node      *node.Node
	transport *peer.Transport
	servers   []*khttp.Server
}

func build(s settings.Node, log logrus.FieldLogger, dropped func() uint64) (*instance, error) {
	metrics, err := telemetry.NewNodeMetrics()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	transport := peer.NewTransport(peer.Options{PrivateNetwork: true, Seed: uint64(time.Now().UnixNano())})
	var machines backend.Machines
	if s.MachinesAddress != "" {
		machines = platform.NewMachines(s.MachinesAddress)
	}
	n := node.New(node.Options{
		Instance: s.Instance, PeerAddress: s.PeerAddress, Peers: transport,
		ServePeers: func(ctx context.Context, handle peer.Handler) error {
			stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
			defer stop()
			return transport.Serve(ctx, listener, handle)
		},
		Tables: metrics.Tables(platform.NewRows(s.StoreAddress)), Workers: platform.NewWorkers(), Advisor: platform.NewAdvisor(s.AdviceAddress),
		Machines: machines, Decoder: platform.Decoder{},
		Sources: node.Sources{
			Config:  backend.RowKey{Table: platform.ConfigTable, Key: platform.ConfigKey},
			Workers: platform.WorkerTable,
		},
		Log: log, Note: noteTo(log, metrics), Answered: metrics.Answer,
		Lease:         min(maxLease, time.Duration(s.MaxLeaseMS)*time.Millisecond),
		StopTimeout:   time.Duration(s.StopTimeoutMS) * time.Millisecond,
		Retention:     time.Duration(s.RetentionS * float64(time.Second)),
		CPUShare:      s.CPUShare,
		TakeoverDelay: time.Duration((1 - min(s.CPUShare, 1)) * float64(takeoverSpan)),
		Now:           node.BootClock,
	})
	if err := metrics.Watch(n.Status, dropped); err != nil {
		return nil, err
	}
	in := &instance{node: n, transport: transport}
	in.serve(s.CallerAddress, platform.NewFront(n))
	in.serve(s.ReadyAddress, platform.Ready(n))
	if s.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", metrics.Handler())
		mux.HandleFunc("/dump", n.ServeDump)
		in.serve(s.MetricsAddress, mux)
	}
	return in, nil
}

// serve adds an HTTP server. Handlers bound their own time, so the server bounds that of the headers only.
func (in *instance) serve(address string, handler http.Handler) {
	server := khttp.NewServer(khttp.Address(address), khttp.Timeout(0))
	server.ReadHeaderTimeout = headerTimeout
	server.HandlePrefix("/", handler)
	in.servers = append(in.servers, server)
}

// start runs the servers and the node. The channel receives the first failure.
func (in *instance) start(ctx context.Context) <-chan error {
	failed := make(chan error, len(in.servers)+1)
	for _, server := range in.servers {
		go func() {
			if err := server.Start(ctx); err != nil {
				failed <- errors.Wrap(err, "serve")
			}
		}()
	}
	go func() {
		if err := in.node.Run(ctx); err != nil {
			failed <- errors.Wrap(err, "run")
		}
	}()
	return failed
}

// leave gives the leadership up, answers callers until the platform has stopped sending new ones, and ends.
func (in *instance) leave(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*gracePart))
	defer cancel()
	in.node.Leave(ctx)
	select {
	case <-time.After(min(drainTime, grace/2)):
	case <-ctx.Done():
	}
	for _, server := range in.servers {
		// A server that cannot finish in time is cut off by the end of the process.
		_ = server.Stop(ctx)
	}
	in.transport.Close()
}

// noteTo logs and counts the decisions of the scheduler.
func noteTo(log logrus.FieldLogger, metrics *telemetry.NodeMetrics) func(cell.Decision) {
	return func(d cell.Decision) {
		metrics.Decision(d)
		entry := log.WithFields(logrus.Fields(d.Fields)).WithField("event", d.Event)
		if d.Job != "" {
			entry = entry.WithField("job", string(d.Job))
		}
		entry.Info(d.Event)
	}
}
