// Command lentiltide-node runs one instance of a cell on the users' platform. All instances run the same program; the
// addresses and limits come from the settings file, whose path is given by --settings or LENTILTIDE_CONFIG.
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
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/platform"
	"github.com/lentiltide/lentiltide/process/node"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/process/telemetry"
	"github.com/lentiltide/lentiltide/request/recovery"
	"github.com/lentiltide/lentiltide/version/cell"
)

type arguments struct {
	Settings string `arg:"--settings,env:LENTILTIDE_CONFIG,required" help:"path of the JSON settings file"`
}

// Description returns the description in the help text; go-arg calls it.
func (arguments) Description() string {
	return "lentiltide-node runs one instance of a lentiltide cell on the users' platform."
}

const (
	// maxLease limits the leases on workers, so that the tasks of a lost worker are soon started elsewhere. It is longer than
	// a leader change takes.
	maxLease = 6 * time.Second
	// memoryLimitShare is the fraction of the instance's memory that is set as the Go runtime's soft memory limit.
	memoryLimitShare = 0.7
	// jobMemoryShare is the fraction of the instance's memory that a leader may use for the steps and tasks of jobs.
	jobMemoryShare = 0.25
	// minJobMemory is the least memory of a leader for jobs, in bytes: the largest job that an instance accepts fits into it.
	minJobMemory = 12 << 20
	// gcPercent is how much the heap grows between garbage collections, in percent. The heap of an instance is small
	// compared with its memory, and the memory limit applies as well.
	gcPercent = 300
	// graceShare is the fraction of the grace period after which the process exits even if callers are still connected.
	graceShare = 0.75
	// drainDuration is how long an instance accepts connections after its shutdown has begun: the platform stops sending new
	// ones after two failed readiness probes, which are one second apart.
	drainDuration = 2500 * time.Millisecond
	// logFlushTimeout limits how long the process waits at exit for buffered log lines to be written.
	logFlushTimeout = 200 * time.Millisecond
	// headerTimeout limits how long a connection may take to send the headers of a request.
	headerTimeout = 5 * time.Second
	// maxTakeoverDelay is how much longer the smallest instance waits before a takeover than instances with a whole CPU core
	// or more.
	maxTakeoverDelay = 200 * time.Millisecond
)

func main() {
	var args arguments
	arg.MustParse(&args)
	// By default, SIGPIPE terminates the process when it writes to standard output after the reader has closed the pipe.
	signal.Ignore(syscall.SIGPIPE)
	out := telemetry.NewAsyncWriter(os.Stdout)
	log := telemetry.NewLogger(out, logrus.InfoLevel)
	telemetry.RedirectKratosLog(log)
	err := run(args, log, out.Dropped)
	if err != nil {
		log.WithError(err).WithField("event", "failed").Error("instance failed")
	}
	out.Close(logFlushTimeout)
	if err != nil {
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT, then shuts down gracefully. SIGHUP reloads the settings.
func run(args arguments, log *logrus.Logger, droppedLogLines func() uint64) error {
	s, err := settings.LoadNode(args.Settings)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitShare * (1 << 20)))
	log.SetLevel(s.Level())
	entry := log.WithFields(logrus.Fields{"instance": s.Instance, "zone": s.Zone})
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	in, err := newInstance(s, entry, droppedLogLines)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failures := in.start(ctx)
	entry.WithFields(logrus.Fields{"event": "started", "caller_address": s.CallerAddress, "peer_address": s.PeerAddress}).Info("instance started")
	for {
		select {
		case err := <-failures:
			return err
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(args, log)
				continue
			}
			entry.WithFields(logrus.Fields{"event": "stopping", "signal": sig.String()}).Info("instance shutting down")
			in.shutDown(time.Duration(s.GraceS * float64(time.Second)))
			entry.WithField("event", "stopped").Info("instance stopped")
			return nil
		}
	}
}

// reload reads the settings file again and applies the log level; the other settings need a restart.
func reload(args arguments, log *logrus.Logger) {
	s, err := settings.LoadNode(args.Settings)
	if err != nil {
		log.WithError(err).WithField("event", "reload_refused").Error("settings rejected; the previous settings stay in effect")
		return
	}
	log.SetLevel(s.Level())
	log.WithFields(logrus.Fields{"event": "reloaded", "log_level": s.LogLevel}).Info("settings reloaded")
}

// instance is a node with its peer transport and HTTP servers.
type instance struct {
	node      *node.Node
	transport *peer.Transport
	servers   []*khttp.Server
}

func newInstance(s settings.Node, log *logrus.Entry, droppedLogLines func() uint64) (*instance, error) {
	metrics, err := telemetry.NewNodeMetrics()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	panics := recovery.NewRecorder(log, metrics.RecordPanic)
	transport := peer.NewTransport(peer.Options{
		PrivateNetwork: true, Seed: uint64(time.Now().UnixNano()),
		OnPanic: func(value any, stack []byte) { panics.Record("peer_message", value, stack) },
	})
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
		Tables: metrics.InstrumentTables(platform.NewTableClient(s.StoreAddress, s.StoreRowBytes)), Workers: platform.NewWorkers(), Advisor: platform.NewAdvisor(s.AdviceAddress),
		Machines: machines, Decoder: platform.Decoder{},
		Sources: node.Sources{
			Config:  backend.RowKey{Table: platform.OperatorTable, Key: platform.ConfigKey},
			Workers: platform.WorkerTable,
		},
		Log: log, Panics: panics, OnDecision: decisionRecorder(telemetry.NewDecisionLog(log), metrics), OnAnswer: metrics.RecordAnswer,
		Lease:          min(maxLease, time.Duration(s.MaxLeaseMS)*time.Millisecond),
		MaxLease:       time.Duration(s.MaxLeaseMS) * time.Millisecond,
		StopTimeout:    time.Duration(s.StopTimeoutMS) * time.Millisecond,
		Retention:      time.Duration(s.RetentionS * float64(time.Second)),
		LinkMbps:       s.LinkMbps,
		Zone:           s.Zone,
		ConfigDeadline: time.Duration(s.ConfigDeadlineMS) * time.Millisecond,
		KeyDeadline:    s.KeyDeadline(),
		OnRefusedKey:   metrics.RecordRefusedKey,
		CPUShare:       s.CPUShare,
		JobMemoryBytes: max(int64(float64(s.MemoryMB)*jobMemoryShare*(1<<20)), minJobMemory),
		TakeoverDelay:  time.Duration((1 - min(s.CPUShare, 1)) * float64(maxTakeoverDelay)),
		Now:            node.BootClock,
	})
	if err := metrics.RegisterGauges(n.Status, droppedLogLines); err != nil {
		return nil, err
	}
	in := &instance{node: n, transport: transport}
	in.addServer(s.CallerAddress, platform.NewJobAPI(n, panics))
	in.addServer(s.ReadyAddress, platform.ReadinessHandler(n))
	if s.MetricsAddress != "" {
		mux := http.NewServeMux()
		mux.Handle("/metrics", metrics.Handler())
		mux.HandleFunc("/dump", n.ServeDump)
		mux.Handle("POST /explain", platform.ExplainHandler(func(queue, team string, spec job.Spec) (any, error) {
			return n.Explain(queue, team, spec)
		}))
		in.addServer(s.MetricsAddress, mux)
	}
	return in, nil
}

// addServer adds an HTTP server, which start runs. Handlers have their own timeouts, so the server limits only how long the
// request headers may take.
func (in *instance) addServer(address string, handler http.Handler) {
	server := khttp.NewServer(khttp.Address(address), khttp.Timeout(0))
	server.ReadHeaderTimeout = headerTimeout
	server.HandlePrefix("/", handler)
	in.servers = append(in.servers, server)
}

// start runs the servers and the node in goroutines. The returned channel receives their errors.
func (in *instance) start(ctx context.Context) <-chan error {
	failures := make(chan error, len(in.servers)+1)
	for _, server := range in.servers {
		go func() {
			if err := server.Start(ctx); err != nil {
				failures <- errors.Wrap(err, "serve")
			}
		}()
	}
	go func() {
		if err := in.node.Run(ctx); err != nil {
			failures <- errors.Wrap(err, "run")
		}
	}()
	return failures
}

// shutDown resigns the leadership, serves callers until the platform has stopped sending new connections, and stops the
// servers and the transport.
func (in *instance) shutDown(grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(float64(grace)*graceShare))
	defer cancel()
	in.node.Leave(ctx)
	select {
	case <-time.After(min(drainDuration, grace/2)):
	case <-ctx.Done():
	}
	for _, server := range in.servers {
		// The error is ignored: the exit of the process closes the connections of a server that does not stop in time.
		_ = server.Stop(ctx)
	}
	in.transport.Close()
}

// decisionRecorder returns a callback that logs and counts the decisions of the scheduler.
func decisionRecorder(log telemetry.DecisionLog, metrics *telemetry.NodeMetrics) func(cell.Decision) {
	return func(d cell.Decision) {
		metrics.RecordDecision(d)
		log.Log(d)
	}
}
