package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/metric"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
)

// gauges holds the instruments whose values are read from the instance on each collection of the metrics.
type gauges struct {
	meter           metric.Meter
	queued          metric.Int64ObservableGauge
	freeCPU         metric.Int64ObservableGauge
	sessionAge      metric.Float64ObservableGauge
	ownedPartitions metric.Int64ObservableGauge
	intents         metric.Int64ObservableGauge
	journalPending  metric.Int64ObservableGauge
	configVersion   metric.Int64ObservableGauge
	peerBytes       metric.Int64ObservableCounter
}

func (b *instrumentBuilder) newGauge(name, description string) metric.Int64ObservableGauge {
	g, err := b.meter.Int64ObservableGauge(name, metric.WithDescription(description))
	b.recordError(err)
	return g
}

func (b *instrumentBuilder) newObservableCounter(name, description string) metric.Int64ObservableCounter {
	c, err := b.meter.Int64ObservableCounter(name, metric.WithDescription(description))
	b.recordError(err)
	return c
}

func (b *instrumentBuilder) newGauges() *gauges {
	g := &gauges{
		meter:           b.meter,
		queued:          b.newGauge("lentiltide.queue.length", "Offers that wait in the racks served here, by class."),
		freeCPU:         b.newGauge("lentiltide.free.cpu_milli", "Free processor time of the racks served here, thousandths of a core."),
		ownedPartitions: b.newGauge("lentiltide.partitions.owned", "Partitions served here, by kind."),
		intents:         b.newGauge("lentiltide.intents", "Intents kept by the partitions served here."),
		journalPending:  b.newGauge("lentiltide.journal.pending", "Outcomes that are not durable yet."),
	}
	g.configVersion = b.newGauge("lentiltide.config.version", "Version of the configuration in force on this instance.")
	g.peerBytes = b.newObservableCounter("lentiltide.peer.bytes", "Bytes sent to and received from other instances, by direction.")
	age, err := b.meter.Float64ObservableGauge("lentiltide.session.age", metric.WithUnit("s"),
		metric.WithDescription("Time since the session was renewed; negative if it never was."))
	b.recordError(err)
	g.sessionAge = age
	return g
}

// RegisterStats registers stats, which is called on each collection of the metrics, as the source of the gauges.
func (m *Metrics) RegisterStats(stats func() instance.Stats) error {
	g := m.gauges
	_, err := g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		g.observe(o, stats())
		return nil
	}, g.queued, g.freeCPU, g.sessionAge, g.ownedPartitions, g.intents, g.journalPending, g.configVersion)
	return err
}

// RegisterPeerBytes registers bytes, which is called on each collection of the metrics, as the source of the numbers of bytes
// exchanged with other instances.
func (m *Metrics) RegisterPeerBytes(bytes func() (sent, received uint64)) error {
	g := m.gauges
	_, err := g.meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		sent, received := bytes()
		o.ObserveInt64(g.peerBytes, int64(sent), withAttributes("direction", "sent"))
		o.ObserveInt64(g.peerBytes, int64(received), withAttributes("direction", "received"))
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
		o.ObserveInt64(g.queued, n, withAttributes("class", model.Class(class).String()))
	}
	o.ObserveInt64(g.freeCPU, free)
	o.ObserveInt64(g.ownedPartitions, int64(len(s.Racks)), withAttributes("kind", "rack"))
	o.ObserveInt64(g.ownedPartitions, int64(len(s.Intents)), withAttributes("kind", "intent"))
	o.ObserveInt64(g.intents, intents)
	o.ObserveInt64(g.journalPending, pending)
	o.ObserveInt64(g.configVersion, int64(s.ConfigVersion))
	o.ObserveFloat64(g.sessionAge, s.SessionAge.Seconds())
}
