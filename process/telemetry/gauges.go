package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
)

// gauges are read from the instance whenever the metrics are read.
type gauges struct {
	meter      metric.Meter
	queued     metric.Int64ObservableGauge
	freeCPU    metric.Int64ObservableGauge
	sessionAge metric.Float64ObservableGauge
	owned      metric.Int64ObservableGauge
	intents    metric.Int64ObservableGauge
	pending    metric.Int64ObservableGauge
	config     metric.Int64ObservableGauge
	peerBytes  metric.Int64ObservableCounter
}

func (b *builder) gauge(name, description string) metric.Int64ObservableGauge {
	g, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description))
	b.note(err)
	return g
}

func (b *builder) gauges() *gauges {
	g := &gauges{
		meter:   b.meter,
		queued:  b.gauge("lentiltide.queue.length", "Offers that wait in the racks served here, by class."),
		freeCPU: b.gauge("lentiltide.free.cpu_milli", "Free processor time of the racks served here, thousandths of a core."),
		owned:   b.gauge("lentiltide.partitions.owned", "Partitions served here, by kind."),
		intents: b.gauge("lentiltide.intents", "Intents kept by the partitions served here."),
		pending: b.gauge("lentiltide.journal.pending", "Outcomes that are not durable yet."),
	}
	g.config = b.gauge("lentiltide.config.version", "Version of the configuration in force on this instance.")
	peerBytes, err := b.meter.Int64ObservableCounter("lentiltide.peer.bytes",
		metric.WithDescription("Bytes sent to and received from other instances, by direction."))
	b.note(err)
	g.peerBytes = peerBytes
	age, err := b.meter.Float64ObservableGauge("lentiltide.session.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the session was renewed; negative if it never was."))
	b.note(err)
	g.sessionAge = age
	return g
}

// Watch reads the gauges from stats whenever the metrics are read.
func (m *Metrics) Watch(stats func() instance.Stats) error {
	g := m.gauges
	_, err := g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g.observe(o, stats())
		return nil
	}, g.queued, g.freeCPU, g.sessionAge, g.owned, g.intents, g.pending, g.config)
	return err
}

// WatchPeers reads the bytes exchanged with other instances whenever the metrics are read.
func (m *Metrics) WatchPeers(bytes func() (sent, received uint64)) error {
	g := m.gauges
	_, err := g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		sent, received := bytes()
		o.ObserveInt64(g.peerBytes, int64(sent), with("direction", "sent"))
		o.ObserveInt64(g.peerBytes, int64(received), with("direction", "received"))
		return nil
	}, g.peerBytes)
	return err
}

func (g *gauges) observe(o metric.Observer, s instance.Stats) {
	var queued [model.NumClasses]int64
	free, intents, pending := int64(0), int64(0), int64(0)
	for _, r := range s.Racks {
		free += r.Free.CPUMilli
		for class, n := range r.Queued {
			queued[class] += int64(n)
		}
	}
	for _, p := range s.Intents {
		intents += int64(p.Intents)
		pending += int64(p.JournalPending)
	}
	for class, n := range queued {
		o.ObserveInt64(g.queued, n, with("class", model.Class(class).String()))
	}
	o.ObserveInt64(g.freeCPU, free)
	o.ObserveInt64(g.owned, int64(len(s.Racks)), with("kind", "rack"))
	o.ObserveInt64(g.owned, int64(len(s.Intents)), with("kind", "intent"))
	o.ObserveInt64(g.intents, intents)
	o.ObserveInt64(g.pending, pending)
	o.ObserveInt64(g.config, int64(s.ConfigVersion))
	o.ObserveFloat64(g.sessionAge, s.SessionAge.Seconds())
}
