package network

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
)

const (
	// settleTime is the time from the start until no partitions move between instances; it is not part of the idle time.
	settleTime = 30 * time.Second
	// idleDuration is long enough for each periodic message to be sent at least once; loadDuration is how long the load lasts.
	idleDuration = 16 * time.Second
	loadDuration = 8 * time.Second
	// loadStartsPerSecond is the peak rate of task starts.
	loadStartsPerSecond = 520
	// loadTeams is the number of teams, which spread the starts over the intent partitions.
	loadTeams = 48
)

// BenchmarkControlCost reports the cost of the control plane per instance: the share of a processor core, the heap and the
// bytes sent to and received from peers, idle and at 520 starts/s, and separately the processor time of one start. All
// instances, the stand-in table and the stand-in workers run in this process. The heap of the stand-ins is measured before
// the instances start and subtracted; their processor time is included. The targets are 1.3% of a core, 256 MB and 3 KB/s.
func BenchmarkControlCost(b *testing.B) {
	for _, size := range []struct{ instances, workers int }{{8, 50}, {16, 400}, {24, 970}, {32, 970}} {
		b.Run(fmt.Sprintf("instances=%d/workers=%d", size.instances, size.workers), func(b *testing.B) {
			for range b.N {
				measureCost(b, size.instances, size.workers)
			}
		})
	}
}

func measureCost(b *testing.B, instances, workers int) {
	f := newFleet(workers)
	before := heapBytes()
	f.startInstances(b, instances)
	f.awaitPartitionsServed(b)
	partitions, ids := make([]int, loadTeams), make([]string, loadTeams)
	for i := range loadTeams {
		partitions[i], ids[i] = f.confirmStandingIntent(b, fmt.Sprintf("team-%02d", i), model.ClassShort)
	}
	// All instances start at once, unlike in operation, so that partitions move between them for the first seconds.
	time.Sleep(settleTime)
	idle := f.measureUsage(func() { time.Sleep(idleDuration) })
	idle.report(b, "idle")
	var completed, failed atomic.Int64
	loaded := f.measureUsage(func() { f.generateCalls(partitions, ids, &completed, &failed) })
	loaded.report(b, "loaded")
	starts := float64(completed.Load())
	// The cost of a start is the usage under load above the idle rate, divided by the starts. Each byte counts once, at its
	// sender.
	idleShare := float64(loaded.elapsed) / float64(idle.elapsed)
	b.ReportMetric((float64(loaded.cpu)-idleShare*float64(idle.cpu))/float64(time.Microsecond)/max(1, starts), "cpu-µs/start")
	b.ReportMetric((loaded.peerBytes-idleShare*idle.peerBytes)/2/max(1, starts), "peer-bytes/start")
	b.ReportMetric(starts/loadDuration.Seconds(), "starts/s")
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric(float64(heapBytes()-before)/float64(instances)/(1<<20), "heap-MB/instance")
	f.close()
}

// resourceUsage is the total usage of all instances during a measurement.
type resourceUsage struct {
	instances     float64
	elapsed, cpu  time.Duration
	peerBytes     float64
	reads, writes float64
}

// measureUsage returns the usage of all instances while run runs.
func (f *fleet) measureUsage(run func()) resourceUsage {
	bytesBefore, cpuBefore := f.peerBytes(), cpuTime()
	readsBefore, writesBefore := f.table.Counts()
	began := time.Now()
	run()
	elapsed := time.Since(began)
	reads, writes := f.table.Counts()
	return resourceUsage{
		instances: float64(len(f.instances)), elapsed: elapsed, cpu: cpuTime() - cpuBefore, peerBytes: f.peerBytes() - bytesBefore,
		reads: float64(reads - readsBefore), writes: float64(writes - writesBefore),
	}
}

// peerBytes returns the bytes that all instances have sent and received; each byte between instances counts twice.
func (f *fleet) peerBytes() float64 {
	sum := uint64(0)
	for _, t := range f.transports {
		sent, received := t.Bytes()
		sum += sent + received
	}
	return float64(sum)
}

func (u resourceUsage) report(b *testing.B, name string) {
	seconds := u.elapsed.Seconds()
	b.ReportMetric(100*u.cpu.Seconds()/seconds/u.instances, name+"-core%/instance")
	b.ReportMetric(u.peerBytes/seconds/u.instances, name+"-bytes/s/instance")
	b.ReportMetric(u.reads/seconds, name+"-reads/s")
	b.ReportMetric(u.writes/seconds, name+"-writes/s")
}

// generateCalls makes calls at a constant rate for loadDuration, each at the owner of its partition.
func (f *fleet) generateCalls(partitions []int, ids []string, completed, failed *atomic.Int64) {
	ctx := context.Background()
	owners := make([]*instance.Instance, len(partitions))
	for i, n := range partitions {
		for _, in := range f.instances {
			if _, err := in.Status(n, ids[i]); err == nil {
				owners[i] = in
			}
		}
	}
	began := time.Now()
	var wg sync.WaitGroup
	for i := range int(loadStartsPerSecond * loadDuration.Seconds()) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / loadStartsPerSecond)))
		at := i % len(partitions)
		if owners[at] == nil {
			failed.Add(1)
			continue
		}
		wg.Go(func() {
			if _, err := owners[at].Call(ctx, partitions[at], ids[at], model.StartToken{}, "", nil); err != nil {
				failed.Add(1)
				return
			}
			completed.Add(1)
		})
	}
	wg.Wait()
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
