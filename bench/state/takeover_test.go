// Package state measures ownership, recovery and the use of the store.
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
	// perRack is the number of workers in a rack.
	perRack = 8
	// settleTime is how long the owners of a new cell take to spread, idleTime how long the idle rate is measured.
	settleTime = 30 * time.Second
	idleTime   = 10 * time.Second
	// giveUp ends a takeover that does not come to an end.
	giveUp = time.Minute
)

// owners counts the served partitions.
type owners struct {
	mu     sync.Mutex
	served map[ownership.Partition]int
}

// member tells owners what one instance serves.
type member struct {
	all  *owners
	mine map[ownership.Partition]bool
}

func (m *member) Acquired(p ownership.Partition, _, _ uint64) { m.count(p, true) }
func (m *member) Lost(p ownership.Partition)                  { m.count(p, false) }
func (m *member) Yield(ownership.Partition) bool              { return true }

func (m *member) Release(p ownership.Partition) *store.Write {
	m.Lost(p)
	return nil
}
func (m *member) OwnersChanged() {}

func (m *member) count(p ownership.Partition, served bool) {
	m.all.mu.Lock()
	defer m.all.mu.Unlock()
	if m.mine[p] == served {
		return
	}
	m.mine[p] = served
	if served {
		m.all.served[p]++
	} else {
		m.all.served[p]--
	}
}

func (o *owners) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count := 0
	for _, n := range o.served {
		if n > 0 {
			count++
		}
	}
	return count
}

// BenchmarkTakeover reports how long the partitions of an instance that dies are without an owner, and what ownership
// reads from and writes to the store, idle and during the takeover. It covers sessions and partitions; loading the state
// of a partition and fencing workers come on top.
func BenchmarkTakeover(b *testing.B) {
	for _, size := range []struct{ instances, workers int }{{8, 50}, {24, 970}} {
		b.Run(fmt.Sprintf("instances=%d/workers=%d", size.instances, size.workers), func(b *testing.B) {
			for range b.N {
				takeover(b, size.instances, size.workers)
			}
		})
	}
}

func takeover(b *testing.B, instances, workers int) {
	table := standinplatform.NewTable()
	var partitions []ownership.Partition
	for n := range model.IntentPartitions {
		partitions = append(partitions, ownership.Intent(n))
	}
	for n := range (workers + perRack - 1) / perRack {
		partitions = append(partitions, ownership.Rack(fmt.Sprintf("rack-%03d", n)))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	all := &owners{served: map[ownership.Partition]int{}}
	var wg sync.WaitGroup
	defer wg.Wait()
	members, stops := make([]*member, instances), make([]context.CancelFunc, instances)
	for i := range instances {
		members[i] = &member{all: all, mine: map[ownership.Partition]bool{}}
		manager := ownership.New(ownership.Options{
			Instance: fmt.Sprintf("entry-%02d", i), Address: fmt.Sprint(i), Table: table, Clock: clockwork.NewRealClock(),
			Hooks: members[i], Log: log, Partitions: func() []ownership.Partition { return partitions },
			RenewEvery: time.Second, Term: 4 * time.Second,
		})
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		stops[i] = stop
		time.Sleep(time.Second / time.Duration(instances))
		wg.Go(func() { manager.Run(ctx) })
	}
	time.Sleep(settleTime)
	rate(b, table, "idle", func() { time.Sleep(idleTime) })
	if n := all.count(); n != len(partitions) {
		b.Fatalf("%d of %d partitions have an owner", n, len(partitions))
	}
	stops[0]()
	for p := range members[0].mine {
		members[0].count(p, false)
	}
	began := time.Now()
	rate(b, table, "takeover", func() {
		for all.count() < len(partitions) && time.Since(began) < giveUp {
			time.Sleep(10 * time.Millisecond)
		}
	})
	b.ReportMetric(time.Since(began).Seconds(), "s-without-owner")
}

// rate reports the reads and writes per second of the store during a time.
func rate(b *testing.B, table *standinplatform.Table, name string, during func()) {
	readsBefore, writesBefore := table.Counts()
	began := time.Now()
	during()
	seconds := time.Since(began).Seconds()
	reads, writes := table.Counts()
	b.ReportMetric(float64(reads-readsBefore)/seconds, name+"-reads/s")
	b.ReportMetric(float64(writes-writesBefore)/seconds, name+"-writes/s")
}
