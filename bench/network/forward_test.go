package network

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/settings"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/cell"
)

// isWrongOwner reports whether a request failed because the instance does not own the partition.
func isWrongOwner(err error) bool { return verdict.From(err).Code == verdict.CodeWrongOwner }

// BenchmarkForward reports the overhead of forwarding a request: latency and allocations of a status request at the owner
// and at another instance, and of a message between instances alone, also beside a stalled bulk stream.
func BenchmarkForward(b *testing.B) {
	b.Run("peer", func(b *testing.B) { benchmarkPeer(b, 1, false) })
	b.Run("peer_64_callers", func(b *testing.B) { benchmarkPeer(b, 64, false) })
	b.Run("peer_beside_bulk", func(b *testing.B) { benchmarkPeer(b, 1, true) })
	benchmarkStatus(b)
}

// benchmarkPeer measures a request and its reply between two transports, 200 bytes each way.
func benchmarkPeer(b *testing.B, callers int, bulkTraffic bool) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server, client := peer.NewTransport(peer.Options{}), peer.NewTransport(peer.Options{})
	defer server.Close()
	defer client.Close()
	defer l.Close()
	body := make([]byte, 200)
	go func() {
		_ = server.Serve(context.Background(), l, func(ctx context.Context, req *peerpb.Request) *peerpb.Reply {
			return &peerpb.Reply{Body: &peerpb.Reply_Forward{Forward: &peerpb.ForwardReply{Body: body}}}
		})
	}()
	address := l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	var bulk sync.WaitGroup
	if bulkTraffic {
		for range 4 {
			bulk.Go(func() {
				for ctx.Err() == nil {
					_, _ = client.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Handover{
						Handover: &peerpb.Handover{State: make([]byte, 1<<20)},
					}})
				}
			})
		}
	}
	latencies := measureLatencies(b, callers, func() error {
		_, err := client.Call(ctx, address, &peerpb.Request{Body: &peerpb.Request_Forward{Forward: &peerpb.Forward{Body: body}}})
		return err
	})
	cancel()
	bulk.Wait()
	reportLatencies(b, latencies)
}

// measureLatencies runs b.N requests from a number of concurrent callers, and returns the latency of each.
func measureLatencies(b *testing.B, callers int, request func() error) []time.Duration {
	if err := request(); err != nil {
		b.Fatal(err)
	}
	latencies := make([][]time.Duration, callers)
	b.ReportAllocs()
	b.ResetTimer()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := c; i < b.N; i += callers {
				began := time.Now()
				if err := request(); err != nil {
					b.Error(err)
					return
				}
				latencies[c] = append(latencies[c], time.Since(began))
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	var all []time.Duration
	for _, t := range latencies {
		all = append(all, t...)
	}
	return all
}

func reportLatencies(b *testing.B, latencies []time.Duration) {
	b.ReportMetric(float64(percentile(latencies, 0.5).Nanoseconds())/1000, "p50-µs")
	b.ReportMetric(float64(percentile(latencies, 0.99).Nanoseconds())/1000, "p99-µs")
}

// benchmarkStatus measures status requests over HTTP at the owner and at another instance.
func benchmarkStatus(b *testing.B) {
	c, err := cell.Start(cell.Options{Workers: 4, PerRack: 2, Zones: []string{"maardu"}, Region: "estonia", Capacity: workerCapacity})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var instances []*lentiltide.Instance
	for i := range 2 {
		s := settings.Default()
		s.Instance, s.Region, s.Zone = fmt.Sprintf("entry-%d", i), "estonia", "maardu"
		s.HTTPAddress, s.PeerAddress, s.PlatformURL = "127.0.0.1:0", "127.0.0.1:0", c.URL
		in, err := lentiltide.Start(lentiltide.Options{Settings: s, Log: log})
		if err != nil {
			b.Fatal(err)
		}
		defer in.Kill()
		instances = append(instances, in)
	}
	client := func(in *lentiltide.Instance) *jsonhttp.Client { return jsonhttp.NewClient(in.URL(), nil) }
	id := confirmOverHTTP(b, client(instances[0]))
	// The owner answers faster, since it does not forward. Which instance owns the partition depends on the instance names only.
	instanceByOwnership := map[bool]*lentiltide.Instance{}
	for _, in := range instances {
		instanceByOwnership[owns(in, id)] = in
	}
	for name, isOwner := range map[string]bool{"http_at_owner": true, "http_forwarded": false} {
		b.Run(name, func(b *testing.B) {
			http := client(instanceByOwnership[isOwner])
			reportLatencies(b, measureLatencies(b, 1, func() error {
				_, err := http.Do(context.Background(), "GET", "/v1/intents/"+id, nil, nil, nil)
				return err
			}))
		})
	}
}

func owns(in *lentiltide.Instance, id string) bool {
	for _, p := range in.Dump().Intents {
		if fmt.Sprintf("i%d-", p.Partition) == id[:len(fmt.Sprintf("i%d-", p.Partition))] {
			return true
		}
	}
	return false
}

// confirmOverHTTP plans and confirms a small batch over HTTP, and returns the ID of its intent.
func confirmOverHTTP(b *testing.B, client *jsonhttp.Client) string {
	spec := model.IntentSpec{
		Account: "office", Team: "fleet", Name: "audit", Kind: model.KindBatch, Tasks: 1,
		TaskDemand: model.Resources{CPUMilli: 100, MemoryMiB: 10}, RunTimeMS: 10,
	}
	var err error
	for range 600 {
		var plan model.Plan
		var in model.Intent
		if err = client.Post(context.Background(), "/v1/plans", spec, &plan); err == nil {
			err = client.Post(context.Background(), "/v1/plans/"+plan.ID+"/confirm", struct{}{}, &in)
		}
		if err == nil {
			return in.ID
		}
		time.Sleep(100 * time.Millisecond)
	}
	b.Fatal(err)
	return ""
}
