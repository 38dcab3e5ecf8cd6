// Package lentiltide embeds one entry instance of the cluster scheduler in a process. The clock, the transport between
// instances, the platform and the workers are passed in; the daemon lentiltided is a thin layer over this package.
package lentiltide

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/connection/peer"
	platformclient "github.com/lentiltide/lentiltide/connection/platform"
	workerclient "github.com/lentiltide/lentiltide/connection/worker"
	"github.com/lentiltide/lentiltide/platform"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/worker"
)

// Options are the parts of an instance. Nil parts are replaced by those of the daemon: the real clock, HTTP clients for
// platform and workers, and TCP between instances.
type Options struct {
	Settings settings.Settings
	Clock    clockwork.Clock
	Table    platform.Table
	Objects  platform.Objects
	Members  platform.InstanceList
	Workers  worker.Dialer
	Log      logrus.FieldLogger
	// Seed seeds the random choices of the instance.
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

// Instance is a running entry instance.
type Instance struct {
	core      *instance.Instance
	api       *api.Server
	transport *peer.Transport
	listener  net.Listener
	wg        sync.WaitGroup
}

// Start starts an instance and returns when it listens on its addresses. It serves its partitions once it has taken them.
func Start(opts Options) (*Instance, error) {
	opts.setDefaults()
	transport, err := newTransport(opts)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", opts.Settings.PeerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	opts.Settings.PeerAddress = listener.Addr().String()
	core := instance.New(instance.Options{
		Settings: opts.Settings, Clock: opts.Clock, Table: opts.Table, Objects: opts.Objects, Members: opts.Members,
		Workers: opts.Workers, Peers: transport, Log: opts.Log, Seed: opts.Seed,
	})
	in := &Instance{core: core, transport: transport, listener: listener, api: api.New(opts.Settings.HTTPAddress, core)}
	core.SetCallHandler(in.api.HandleForward)
	if _, err := in.api.HTTP().Endpoint(); err != nil {
		_ = listener.Close()
		return nil, errors.Wrap(err, "listen for callers")
	}
	in.wg.Add(2)
	go func() {
		defer in.wg.Done()
		_ = core.ServePeers(transport, listener)
	}()
	go func() {
		defer in.wg.Done()
		_ = in.api.HTTP().Start(context.Background())
	}()
	core.Start()
	return in, nil
}

// newTransport returns the transport between instances, with mutual TLS when the settings name certificates.
func newTransport(opts Options) (*peer.Transport, error) {
	files := opts.Settings.PeerTLS
	if files == nil {
		return peer.NewTransport(peer.Options{Seed: opts.Seed}), nil
	}
	certificates, err := peer.LoadCertificates(files.CertFile, files.KeyFile, files.CAFile)
	if err != nil {
		return nil, err
	}
	return peer.NewTransport(peer.Options{Seed: opts.Seed, Certificates: certificates}), nil
}

// URL returns the base URL of the HTTP API.
func (in *Instance) URL() string {
	endpoint, err := in.api.HTTP().Endpoint()
	if err != nil {
		return ""
	}
	return endpoint.String()
}

// Shutdown stops the instance gracefully: it hands its partitions over, finishes requests in flight and ends. ctx bounds
// the whole; when it ends first, the rest is cut off.
func (in *Instance) Shutdown(ctx context.Context) error {
	err := in.core.Drain(ctx)
	err = errors.CombineErrors(err, in.api.HTTP().Stop(ctx))
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
}
