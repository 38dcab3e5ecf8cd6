// Package lentiltide embeds one entry instance of the cluster scheduler in a process. The clock, the transport between
// instances, the platform and the workers can be replaced; the daemon lentiltided is a thin layer over this package.
package lentiltide

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/connection/peer"
	platformclient "github.com/lentiltide/lentiltide/connection/store"
	workerclient "github.com/lentiltide/lentiltide/connection/worker"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/process/telemetry"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// Transport carries messages between instances.
type Transport interface {
	peer.Caller
	// Serve handles the messages that arrive on a listener until the listener or the transport is closed.
	Serve(ctx context.Context, l net.Listener, handle peer.Handler) error
	// AwaitQuiet waits until no forwarded request of a caller is being handled and none has arrived for a short time, or
	// until ctx ends.
	AwaitQuiet(ctx context.Context)
	// Close closes all connections.
	Close()
}

var _ Transport = (*peer.Transport)(nil)

// byteCounter is implemented by transports that count the bytes sent and received on their connections.
type byteCounter interface {
	Bytes() (sent, received uint64)
}

// Options configures an instance. Fields that are nil get the defaults of the daemon: the real clock, HTTP clients for the
// platform and the workers, and TCP between instances.
type Options struct {
	Settings settings.Settings
	Clock    clockwork.Clock
	Table    store.Table
	Objects  store.Objects
	Members  store.InstanceList
	Workers  worker.Dialer
	// Transport carries messages between instances.
	Transport Transport
	// Listener accepts connections of other instances; its address is published to them.
	Listener net.Listener
	Log      logrus.FieldLogger
	// Seed seeds the random number generators of the instance.
	Seed uint64
}

func (o *Options) setDefaults() {
	client := platformclient.NewClient(o.Settings.PlatformURL)
	if o.Table == nil {
		o.Table = client
	}
	if o.Objects == nil {
		o.Objects = client.Objects()
	}
	if o.Members == nil {
		o.Members = client.Members()
	}
	if o.Workers == nil {
		o.Workers = workerclient.NewDialer()
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
}

// newTransport returns the transport between instances. The default one uses mutual TLS if the settings name certificates.
func (o *Options) newTransport() (Transport, error) {
	files := o.Settings.PeerTLS
	if o.Transport != nil {
		return o.Transport, nil
	}
	if files == nil {
		return peer.NewTransport(peer.Options{Seed: o.Seed}), nil
	}
	certificates, err := peer.LoadCertificates(files.CertFile, files.KeyFile, files.CAFile)
	if err != nil {
		return nil, err
	}
	return peer.NewTransport(peer.Options{Seed: o.Seed, Certificates: certificates}), nil
}

// check returns an error with all problems of the settings. platform_url is required unless all clients of the platform are
// passed in.
func (o *Options) check() error {
	platformInjected := o.Table != nil && o.Objects != nil && o.Members != nil
	problems := slices.DeleteFunc(o.Settings.Check(), func(line string) bool {
		return platformInjected && strings.HasPrefix(line, "platform_url:")
	})
	if len(problems) > 0 {
		return &settings.Error{Problems: problems}
	}
	return nil
}

// Instance is a running entry instance.
type Instance struct {
	core      *instance.Instance
	api       *api.Server
	transport Transport
	listener  net.Listener
	metrics   *telemetry.Metrics
	wg        sync.WaitGroup
}

// Start starts an instance and returns when it listens on its addresses. The instance serves partitions once it has
// acquired them.
func Start(opts Options) (*Instance, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	opts.setDefaults()
	var err error
	if opts.Transport, err = opts.newTransport(); err != nil {
		return nil, err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	listener, err := opts.listen()
	if err != nil {
		return nil, err
	}
	opts.Settings.PeerAddress = listener.Addr().String()
	core := instance.New(instance.Options{
		Settings: opts.Settings, Clock: opts.Clock, Table: metrics.InstrumentTable(opts.Table, opts.Clock), Objects: opts.Objects,
		Members: opts.Members, Workers: metrics.InstrumentWorkers(opts.Workers, opts.Clock), Peers: opts.Transport, Log: opts.Log,
		Seed: opts.Seed,
	})
	in := &Instance{core: core, transport: opts.Transport, listener: listener, metrics: metrics}
	in.api = api.New(api.Options{
		Address: opts.Settings.HTTPAddress, Backend: core, Clock: opts.Clock, Log: opts.Log, Observer: metrics,
		Metrics: metrics.Handler(),
	})
	core.SetCallHandler(in.api.HandleForward)
	if err := in.prepare(); err != nil {
		_ = listener.Close()
		metrics.Close()
		return nil, err
	}
	in.wg.Add(2)
	go func() {
		defer in.wg.Done()
		_ = core.ServePeers(opts.Transport, listener)
	}()
	go func() {
		defer in.wg.Done()
		_ = in.api.HTTP().Start(context.Background())
	}()
	core.Start()
	return in, nil
}

// prepare registers the metrics that read from the instance and its transport, and opens the listener for callers.
func (in *Instance) prepare() error {
	if err := in.metrics.RegisterStats(in.core.Stats); err != nil {
		return errors.Wrap(err, "metrics")
	}
	if counter, ok := in.transport.(byteCounter); ok {
		if err := in.metrics.RegisterPeerBytes(counter.Bytes); err != nil {
			return errors.Wrap(err, "metrics")
		}
	}
	_, err := in.api.HTTP().Endpoint()
	return errors.Wrap(err, "listen for callers")
}

// listen returns the listener for connections of other instances.
func (o *Options) listen() (net.Listener, error) {
	if o.Listener != nil {
		return o.Listener, nil
	}
	l, err := net.Listen("tcp", o.Settings.PeerAddress)
	return l, errors.Wrap(err, "listen for peers")
}

// URL returns the base URL of the HTTP API.
func (in *Instance) URL() string {
	endpoint, err := in.api.HTTP().Endpoint()
	if err != nil {
		return ""
	}
	return endpoint.String()
}

// Dump returns the state of the instance, with each list limited to instance.DefaultDumpLimit entries.
func (in *Instance) Dump() instance.Dump { return in.core.Dump(instance.DefaultDumpLimit) }

// Shutdown stops the instance gracefully: its partitions accept no further requests, requests in flight finish, the
// partitions are handed over, and the remaining requests that the instance forwards are answered. If ctx ends first, the
// remaining requests are aborted.
func (in *Instance) Shutdown(ctx context.Context) error {
	in.api.CloseConnections()
	err := in.core.Shutdown(ctx)
	err = errors.CombineErrors(err, in.api.Stop(ctx))
	in.transport.AwaitQuiet(ctx)
	in.Kill()
	return err
}

// Kill stops the instance at once, as a crash does.
func (in *Instance) Kill() {
	_ = in.listener.Close()
	in.transport.Close()
	in.core.Close()
	_ = in.api.HTTP().Close()
	in.wg.Wait()
	in.metrics.Close()
}
