// Package state measures the ownership of partitions, recovery, and the load on the store.
package state

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/model"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/ownership"
)

const (
	// workersPerRack is the number of workers in a rack.
	workersPerRack = 8
	// settleTime is how long partitions take to spread over the instances of a new cell, idleDuration how long the idle rate
	// is measured.
	settleTime   = 30 * time.Second
	idleDuration = 10 * time.Second
	// takeoverTimeout limits the wait for a takeover that does not complete.
	takeoverTimeout = time.Minute
)

// servedPartitions counts the instances that serve each partition.
type servedPartitions struct {
	mu     sync.Mutex
	owners map[ownership.Partition]int
}

// instanceHooks are the ownership hooks of one instance, which record the partitions that it serves. They agree to every
// request to hand over a partition.
type instanceHooks struct {
	partitions *servedPartitions
	owned      map[ownership.Partition]bool
}

func (h *instanceHooks) Acquired(p ownership.Partition, _, _ uint64) { h.setServed(p, true) }
func (h *instanceHooks) Lost(p ownership.Partition)                  { h.setServed(p, false) }
func (h *instanceHooks) ReadyToHandOver(ownership.Partition) bool    { return true }

func (h *instanceHooks) Release(p ownership.Partition) *store.Write {
	h.Lost(p)
	return nil
}
func (h *instanceHooks) OwnersChanged() {}

func (h *instanceHooks) setServed(p ownership.Partition, served bool) {
	h.partitions.mu.Lock()
	defer h.partitions.mu.Unlock()
	if h.owned[p] == served {
		return
	}
	h.owned[p] = served
	if served {
		h.partitions.owners[p]++
	} else {
		h.partitions.owners[p]--
	}
}

// countServed returns the number of partitions that at least one instance serves.
func (s *servedPartitions) countServed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, n := range s.owners {
		if n > 0 {
			count++
		}
	}
	return count
}

// BenchmarkTakeover reports how long the partitions of a crashed instance are without an owner, and the rate at which
// ownership reads and writes the store, idle and during the takeover. It covers sessions and partitions; loading the state
// of a partition and fencing workers are not included.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range []struct{ instances, workers int }{{8, 50}, {24, 970}} {
		b.Run(fmt.Sprintf("instances=%d/workers=%d", size.instances, size.workers), func(b *testing.B) {
			for range b.N {
				measureTakeover(b, size.instances, size.workers)
			}
		})
	}
}

func measureTakeover(b *testing.B, instances, workers int) {
	table := standinplatform.NewTable()
	var partitions []ownership.Partition
	for n := range model.IntentPartitions {
		partitions = append(partitions, ownership.Intent(n))
	}
	for n := range (workers + workersPerRack - 1) / workersPerRack {
		partitions = append(partitions, ownership.Rack(fmt.Sprintf("rack-%03d", n)))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	served := &servedPartitions{owners: map[ownership.Partition]int{}}
	var wg sync.WaitGroup
	defer wg.Wait()
	hooks, stops := make([]*instanceHooks, instances), make([]context.CancelFunc, instances)
	for i := range instances {
		hooks[i] = &instanceHooks{partitions: served, owned: map[ownership.Partition]bool{}}
		manager := ownership.New(ownership.Options{
			Instance: fmt.Sprintf("entry-%02d", i), Address: fmt.Sprint(i), Table: table, Clock: clockwork.NewRealClock(),
			Hooks: hooks[i], Log: log, Partitions: func() []ownership.Partition { return partitions },
			RenewInterval: time.Second, SessionTTL: 4 * time.Second,
		})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		stops[i] = stop
		time.Sleep(time.Second / time.Duration(instances))
		wg.Go(func() { manager.Run(ctx) })
	}
	time.Sleep(settleTime)
	reportStoreRate(b, table, "idle", func() { time.Sleep(idleDuration) })
	if n := served.countServed(); n != len(partitions) {
		b.Fatalf("%d of %d partitions have an owner", n, len(partitions))
	}
	stops[0]()
	for p := range hooks[0].owned {
		hooks[0].setServed(p, false)
	}
	began := time.Now()
	reportStoreRate(b, table, "takeover", func() {
		for served.countServed() < len(partitions) && time.Since(began) < takeoverTimeout {
			time.Sleep(10 * time.Millisecond)
		}
	})
	b.ReportMetric(time.Since(began).Seconds(), "s-without-owner")
}

// reportStoreRate reports the store's reads and writes per second while a function runs.
func reportStoreRate(b *testing.B, table *standinplatform.Table, name string, during func()) {
	readsBefore, writesBefore := table.Counts()
	began := time.Now()
	during()
	seconds := time.Since(began).Seconds()
	reads, writes := table.Counts()
	b.ReportMetric(float64(reads-readsBefore)/seconds, name+"-reads/s")
	b.ReportMetric(float64(writes-writesBefore)/seconds, name+"-writes/s")
}
