package capacity

import (
	"testing"

	"github.com/lentiltide/lentiltide/model"
)

// reportBytesPerObject builds a state of n and of 4n objects and reports the heap bytes that each additional object takes.
func reportBytesPerObject(b *testing.B, n int, build func(n int) any) {
	b.Helper()
	var bytesPerObject float64
	for b.Loop() {
		small := retainedHeapBytes(func() any { return build(n) })
		large := retainedHeapBytes(func() any { return build(4 * n) })
		bytesPerObject = (large - small) / float64(3*n)
	}
	b.ReportMetric(bytesPerObject, "heap-bytes/object")
}

// BenchmarkRackState reports the heap bytes of a rack core for each worker, running task and queued offer.
func BenchmarkRackState(b *testing.B) {
	b.Run("worker", func(b *testing.B) {
		reportBytesPerObject(b, 500, func(n int) any { return fencedRack(n) })
	})
	b.Run("running_task", func(b *testing.B) {
		reportBytesPerObject(b, 1000, func(n int) any {
			c := fencedRack(500)
			effects, _ := c.Offer(startTime, newOffers(n, model.Resources{CPUMilli: 100, MemoryMiB: 100}))
			if started := startAll(c, effects); started != n {
				b.Fatalf("%d of %d tasks started", started, n)
			}
			return c
		})
	})
	b.Run("queued_offer", func(b *testing.B) {
		reportBytesPerObject(b, 2000, func(n int) any {
			c := fencedRack(8)
			c.Offer(startTime, newOffers(n, model.Resources{CPUMilli: 65_000}))
			return c
		})
	})
}

// BenchmarkIntentState reports the heap bytes of an intent core for each waiting task and each running task.
func BenchmarkIntentState(b *testing.B) {
	b.Run("waiting_task", func(b *testing.B) {
		reportBytesPerObject(b, 2000, func(n int) any { return newCoreWithIntent(n) })
	})
	b.Run("running_task", func(b *testing.B) {
		reportBytesPerObject(b, 2000, func(n int) any {
			c := newCoreWithIntent(n)
			for i := range n {
				id := model.NewTaskID("i17-715e9427-b4a3-4ed8-b957-095020fd521b", 0, i)
				if token, ok := c.Claim(startTime, id, "rack-0", 1); ok {
					c.Started(startTime, id, token, "worker-00001")
				}
			}
			return c
		})
	})
}
