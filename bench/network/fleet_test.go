// Package network measures the communication between instances: forwarded requests, the propagation of configurations,
// retries under overload, and the cost of the whole control plane.
package network

import (
	"context"
	"fmt"
	"io"
	"net"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/process/settings"
	standinplatform "github.com/lentiltide/lentiltide/standin/platform"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/worker"
)

// workerCapacity is the capacity of one worker of Kärutehas.
var workerCapacity = model.Resources{CPUMilli: 16_000, MemoryMiB: 65_536, Slots: 8, Connections: 60}

// fleet runs instances in one process that communicate over loopback sockets. They call the table and the workers directly,
// so that the cost of these is small compared with that of the instances.
type fleet struct {
	table      *standinplatform.Table
	members    *standinplatform.InstanceList
	agents     map[string]*standinworker.Agent
	instances  []*instance.Instance
	transports []*peer.Transport
	listeners  []net.Listener
}

// Dial implements worker.Dialer.
func (f *fleet) Dial(address string) worker.Agent { return f.agents[address] }

// newFleet makes the stand-in platform and the workers, 8 per rack, without instances.
func newFleet(workers int) *fleet {
	f := &fleet{
		table: standinplatform.NewTable(), members: standinplatform.NewInstanceList(), agents: map[string]*standinworker.Agent{},
	}
	for i := range workers {
		id := fmt.Sprintf("worker-%03d", i)
		f.agents[id] = standinworker.New(standinworker.Options{ID: id, Capacity: workerCapacity, Clock: clockwork.NewRealClock()})
		f.members.Set(store.Member{
			ID: id, Role: store.RoleWorker, State: store.MemberLive, Region: "estonia",
			Zone: []string{"tallinn-port", "tallinn-yard", "maardu"}[i/8%3], Rack: fmt.Sprintf("rack-%03d", i/8),
			Address: id, Capacity: workerCapacity,
		})
	}
	return f
}

// startInstances adds and starts instances, which are closed at the end of the benchmark.
func (f *fleet) startInstances(b *testing.B, count int) {
	b.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := settings.Default()
		s.Instance, s.Region, s.PeerAddress = fmt.Sprintf("entry-%02d", i), "estonia", l.Addr().String()
		s.Zone = []string{"tallinn-port", "tallinn-yard", "maardu"}[i%3]
		t := peer.NewTransport(peer.Options{Seed: uint64(i)})
		in := instance.New(instance.Options{
			Settings: s, Clock: clockwork.NewRealClock(), Table: f.table, Objects: standinplatform.NewObjects(),
			Members: f.members, Workers: f, Peers: t, Log: log, Seed: uint64(i),
		})
		f.instances, f.transports, f.listeners = append(f.instances, in), append(f.transports, t), append(f.listeners, l)
		go func() { _ = in.ServePeers(t, l) }()
	}
	b.Cleanup(f.close)
	for _, in := range f.instances {
		in.Start()
	}
}

func (f *fleet) close() {
	var wg sync.WaitGroup
	for i, in := range f.instances {
		_ = f.listeners[i].Close()
		f.transports[i].Close()
		wg.Go(in.Close)
	}
	wg.Wait()
}

// awaitPartitionsServed waits until every intent partition is served by one instance, for at most a minute.
func (f *fleet) awaitPartitionsServed(b *testing.B) {
	b.Helper()
	for range 600 {
		served := 0
		for _, in := range f.instances {
			for n := range model.IntentPartitions {
				if _, err := in.Status(n, "i0-none"); err != nil && !isWrongOwner(err) {
					served++
				}
			}
		}
		if served == model.IntentPartitions {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal("not all intent partitions were served within one minute")
}

// retryInstances repeats a request at each instance in turn until one accepts it, for at most a minute.
func (f *fleet) retryInstances(b *testing.B, request func(in *instance.Instance) error) {
	b.Helper()
	var err error
	for range 600 {
		for _, in := range f.instances {
			if err = request(in); err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal(err)
}

// confirmStandingIntent confirms an intent for any number of idempotent calls, and returns its partition and ID.
func (f *fleet) confirmStandingIntent(b *testing.B, team string, class model.Class) (partition int, id string) {
	b.Helper()
	spec := model.IntentSpec{
		Account: "office", Team: team, Name: "hold", Kind: model.KindCall, Tasks: 1, Class: &class, Idempotent: true,
		TaskDemand: model.Resources{CPUMilli: 500, MemoryMiB: 512, Connections: 1}, RunTimeMS: 100,
	}
	partition = model.IntentPartition(spec.Account, spec.Team)
	f.retryInstances(b, func(in *instance.Instance) error {
		plan, err := in.Plan(context.Background(), partition, spec)
		if err != nil {
			return err
		}
		confirmed, err := in.Confirm(context.Background(), partition, plan.ID)
		id = confirmed.ID
		return err
	})
	return partition, id
}

// cpuTime returns the user and system time that this process has used, or 0 if it is not available.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// percentile returns the percentile p, from 0 to 1, of durations, which it sorts in place.
func percentile(durations []time.Duration, p float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(len(durations)-1, int(p*float64(len(durations))))]
}
