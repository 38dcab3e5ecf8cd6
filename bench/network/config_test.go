package network

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/process/instance"
)

// BenchmarkConfigPropagation reports how long a confirmed configuration takes until every instance applies it and until
// its status is "in force everywhere". The target is 4 s.
func BenchmarkConfigPropagation(b *testing.B) {
	for _, count := range []int{8, 24} {
		b.Run(fmt.Sprintf("instances=%d", count), func(b *testing.B) {
			f := newFleet(50)
			f.startInstances(b, count)
			f.awaitPartitionsServed(b)
			var applied, everywhere []time.Duration
			version := uint64(0)
			b.ResetTimer()
			for i := range b.N {
				began := time.Now()
				version++
				f.confirmConfig(b, i%count, fmt.Sprintf(`{"limits":{"queue_delay_ms":%d}}`, 50+i%50))
				waitUntil(b, func() bool {
					for _, in := range f.instances {
						if in.Config().Version < version {
							return false
						}
					}
					return true
				})
				applied = append(applied, time.Since(began))
				waitUntil(b, func() bool {
					status, err := f.instances[(i+1)%count].ConfigStatus(context.Background())
					return err == nil && status.InForceEverywhere && status.Version >= version
				})
				everywhere = append(everywhere, time.Since(began))
			}
			b.StopTimer()
			b.ReportMetric(float64(percentile(applied, 0.5).Microseconds())/1000, "p50-applied-ms")
			b.ReportMetric(float64(percentile(applied, 1).Microseconds())/1000, "max-applied-ms")
			b.ReportMetric(float64(percentile(everywhere, 1).Microseconds())/1000, "max-everywhere-ms")
		})
	}
}

// confirmConfig plans and confirms a configuration at one instance, and retries for at most a minute.
func (f *fleet) confirmConfig(b *testing.B, at int, document string) {
	b.Helper()
	f.retryInstances(b, func(*instance.Instance) error {
		in := f.instances[at]
		plan, err := in.PlanConfig(context.Background(), []byte(document))
		if err != nil {
			return err
		}
		_, err = in.ConfirmConfig(context.Background(), plan.ID)
		return err
	})
}

func waitUntil(b *testing.B, ready func() bool) {
	b.Helper()
	for range 60_000 {
		if ready() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	b.Fatal("the condition did not hold within one minute")
}
