package state

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/cell"
)

const (
	// callRate is the peak rate of task starts per second, for the whole cell, that the target assumes.
	callRate = 520
	// callDuration is how long a benchmark makes calls.
	callDuration = 10 * time.Second
	// teamCount is the number of call intents; each belongs to a team of its own.
	teamCount = 40
)

// testCell is a cell with its instances, and non-idempotent call intents with tickets for one run.
type testCell struct {
	cell      *cell.Cell
	instances []*lentiltide.Instance
	clients   []*jsonhttp.Client
	intentIDs []string
	tickets   [][]string
}

func startTestCell(b *testing.B, instances, workers int) *testCell {
	b.Helper()
	c, err := cell.Start(cell.Options{
		Workers: workers, PerRack: workersPerRack, Zones: []string{"osu", "tema", "kasoa"}, Region: "ghana",
		Capacity: model.Resources{CPUMilli: 64_000, MemoryMiB: 262_144, Slots: 8, Connections: 60},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(c.Close)
	tc := &testCell{cell: c}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range instances {
		s := settings.Default()
		s.Instance, s.Region, s.Zone = fmt.Sprintf("entry-%d", i), "ghana", "osu"
		s.HTTPAddress, s.PeerAddress, s.PlatformURL = "127.0.0.1:0", "127.0.0.1:0", c.URL
		in, err := lentiltide.Start(lentiltide.Options{Settings: s, Log: log, Seed: uint64(i)})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(in.Kill)
		tc.instances = append(tc.instances, in)
		tc.clients = append(tc.clients, jsonhttp.NewClient(in.URL(), nil))
	}
	time.Sleep(settleTime)
	for team := range teamCount {
		tc.addCallIntent(b, team)
	}
	return tc
}

// postWithRetry sends a request, and retries it as long as its verdict is NotRun.
func (tc *testCell) postWithRetry(b *testing.B, client int, path string, in, out any) {
	b.Helper()
	for range 50 {
		err := tc.clients[client%len(tc.clients)].Post(context.Background(), path, in, out)
		if err == nil {
			return
		}
		if verdict.Of(err) != verdict.NotRun {
			b.Fatal(err)
		}
		time.Sleep(200 * time.Millisecond)
	}
	b.Fatalf("%s was not served in 50 attempts", path)
}

// addCallIntent confirms the call intent of a team and requests tickets for all its calls of one run.
func (tc *testCell) addCallIntent(b *testing.B, team int) {
	b.Helper()
	spec := model.IntentSpec{
		Account: "office", Team: fmt.Sprintf("team-%d", team), Name: "hold", Kind: model.KindCall, Tasks: 1,
		TaskDemand: model.Resources{CPUMilli: 500, MemoryMiB: 512}, RunTimeMS: 20,
	}
	var plan model.Plan
	tc.postWithRetry(b, team, "/v1/plans", spec, &plan)
	var in model.Intent
	tc.postWithRetry(b, team, "/v1/plans/"+plan.ID+"/confirm", struct{}{}, &in)
	tc.intentIDs = append(tc.intentIDs, in.ID)
	var reply api.TicketsReply
	count := callRate*int(callDuration/time.Second)/teamCount + 1
	tc.postWithRetry(b, team, "/v1/intents/"+in.ID+"/tickets", api.TicketsRequest{Count: count}, &reply)
	tc.tickets = append(tc.tickets, reply.Tickets)
}

// callStats collects latencies in microseconds, and counts replies by verdict.
type callStats struct {
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	verdicts  map[verdict.Verdict]int
}

// runCalls makes calls at callRate and reports latency, verdicts, and reads and writes of the table. header returns the
// headers of a team's n-th call.
func (tc *testCell) runCalls(b *testing.B, header func(team, n int) http.Header) {
	b.Helper()
	reads, writes := tc.cell.Table.Counts()
	stats := callStats{latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), verdicts: map[verdict.Verdict]int{}}
	var calls errgroup.Group
	began := time.Now()
	for n := range callRate * int(callDuration/time.Second) {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / callRate)))
		calls.Go(func() error {
			team := n % teamCount
			sent := time.Now()
			var reply api.CallReply
			_, err := tc.clients[n%len(tc.clients)].Do(context.Background(), http.MethodPost,
				"/v1/intents/"+tc.intentIDs[team]+"/calls", header(team, n/teamCount), []byte(`{"payload":"lane"}`), &reply)
			stats.mu.Lock()
			defer stats.mu.Unlock()
			_ = stats.latencies.RecordValue(time.Since(sent).Microseconds())
			stats.verdicts[verdict.Of(err)]++
			return nil
		})
	}
	_ = calls.Wait()
	elapsed := time.Since(began).Seconds()
	readsAfter, writesAfter := tc.cell.Table.Counts()
	b.ReportMetric(float64(readsAfter-reads)/elapsed, "reads/s")
	b.ReportMetric(float64(writesAfter-writes)/elapsed, "writes/s")
	b.ReportMetric(float64(stats.latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(stats.latencies.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(stats.latencies.Max())/1000, "max-ms")
	b.ReportMetric(float64(stats.verdicts[verdict.Ran])/elapsed, "ran/s")
	b.ReportMetric(float64(stats.verdicts[verdict.NotRun]), "not-run")
	b.ReportMetric(float64(stats.verdicts[verdict.MayHaveRun]), "may-have-run")
	b.ReportMetric(float64(tc.cell.Observer.Counts().DoubleRuns), "double-runs")
}

func (tc *testCell) ticketHeader(team, n int) http.Header {
	return http.Header{api.HeaderTicket: {tc.tickets[team][n]}}
}

func keyHeader(team, n int) http.Header {
	return http.Header{api.HeaderIdempotencyKey: {fmt.Sprintf("key-%d-%d", team, n)}}
}

// BenchmarkAtMostOnce compares calls with tickets, which need no write before they start, with calls with idempotency keys,
// which are recorded before they start. Calls run for 20 ms on the worker.
func BenchmarkAtMostOnce(b *testing.B) {
	for name, header := range map[string]func(*testCell) func(int, int) http.Header{
		"ticket": func(tc *testCell) func(int, int) http.Header { return tc.ticketHeader },
		"key":    func(*testCell) func(int, int) http.Header { return keyHeader },
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				tc := startTestCell(b, 8, 48)
				tc.runCalls(b, header(tc))
			}
		})
	}
}

// BenchmarkStoreBudget reports the reads and writes of the table by all instances at the peak rate of starts. The budget is
// 200 writes/s and 800 reads/s.
func BenchmarkStoreBudget(b *testing.B) {
	for _, size := range []struct{ instances, workers int }{{8, 48}, {24, 240}} {
		b.Run(fmt.Sprintf("instances=%d/workers=%d", size.instances, size.workers), func(b *testing.B) {
			for b.Loop() {
				tc := startTestCell(b, size.instances, size.workers)
				tc.runCalls(b, tc.ticketHeader)
			}
		})
	}
}

// leaveDelay is the time from the first call until an instance leaves.
const leaveDelay = 3 * time.Second

// BenchmarkLeave reports how long calls wait when an instance shuts down gracefully and when it crashes, including the
// loading of its partitions and the fencing of its workers. The bounds are 2 s and 10 s. Callers use the other instances.
func BenchmarkLeave(b *testing.B) {
	for name, leave := range map[string]func(*lentiltide.Instance) error{
		"graceful": func(in *lentiltide.Instance) error {
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			return in.Shutdown(ctx)
		},
		"death": func(in *lentiltide.Instance) error {
			in.Kill()
			return nil
		},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				tc := startTestCell(b, 8, 48)
				tc.clients = tc.clients[1:]
				var leaving errgroup.Group
				leaving.Go(func() error {
					time.Sleep(leaveDelay)
					return leave(tc.instances[0])
				})
				tc.runCalls(b, tc.ticketHeader)
				if err := leaving.Wait(); err != nil {
					b.Error(err)
				}
			}
		})
	}
}
