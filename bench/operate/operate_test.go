// Package operate measures the cost of operators' queries to an instance.
package operate

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/standin/cell"
)

// BenchmarkOperate reports the latency and the size of a state dump and of a metrics response, on an instance that serves
// all intent partitions and the racks of 48 workers.
func BenchmarkOperate(b *testing.B) {
	c, err := cell.Start(cell.Options{
		Workers: 48, PerRack: 8, Zones: []string{"a", "b", "c"}, Region: "r",
		Capacity: model.Resources{CPUMilli: 16_000, MemoryMiB: 65_536, Slots: 8, Connections: 60},
	})
	assert.NilError(b, err)
	defer c.Close()
	s := settings.Default()
	s.Instance, s.Region, s.Zone = "entry-1", "r", "a"
	s.HTTPAddress, s.PeerAddress, s.PlatformURL = "127.0.0.1:0", "127.0.0.1:0", c.URL
	log := logrus.New()
	log.SetOutput(io.Discard)
	in, err := lentiltide.Start(lentiltide.Options{Settings: s, Log: log})
	assert.NilError(b, err)
	defer in.Kill()
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		if d := in.Dump(); len(d.Intents) < model.IntentPartitions || len(d.Racks) < 6 {
			return poll.Continue("%d intent partitions, %d racks", len(d.Intents), len(d.Racks))
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	for name, path := range map[string]string{"Dump": "/v1/dump", "Metrics": "/metrics"} {
		b.Run(name, func(b *testing.B) {
			size := int64(0)
			for b.Loop() {
				resp, err := http.Get(in.URL() + path)
				assert.NilError(b, err)
				size, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(b, err)
				resp.Body.Close()
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
