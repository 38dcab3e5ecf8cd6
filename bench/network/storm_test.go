package network

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// The owner handles stormConcurrency requests at a time, each of which takes stormServiceTime. Its capacity is therefore
	// 2,000 requests/s.
	stormConcurrency = 40
	stormServiceTime = 20 * time.Millisecond
	stormBaseRate    = 1600
	// stormTimeout is how long a caller waits for a reply; stormRetries is how often it retries a failed request.
	stormTimeout = 250 * time.Millisecond
	stormRetries = 3
)

// storm counts successful replies by the second in which they arrived, and failed attempts in total.
type storm struct {
	began          time.Time
	succeeded      [16]atomic.Int64
	failedAttempts atomic.Int64
}

// BenchmarkRetryStorm reports the replies per second that arrive before the timeout, at a forwarding instance, before,
// during and after a load of three times the capacity, and in the first second after it. Callers retry failed requests. The
// baseline is an owner of the same capacity with an unbounded FIFO queue. The target is the rate from before the storm in
// the first second after it.
func BenchmarkRetryStorm(b *testing.B) {
	b.Run("limited", func(b *testing.B) {
		f := newFleet(8)
		f.startInstances(b, 2)
		f.awaitPartitionsServed(b)
		f.confirmConfig(b, 0, `{"limits":{"max_in_flight":40,"client_in_flight":100000,"team_in_flight":100000}}`)
		waitUntil(b, func() bool { return f.instances[0].Config().Version == 1 && f.instances[1].Config().Version == 1 })
		partition := f.partitionServedBy(b, 1)
		work := func(context.Context) error { time.Sleep(stormServiceTime); return nil }
		for _, in := range f.instances {
			in.SetCallHandler(func(ctx context.Context, fwd *peerpb.Forward) *peerpb.ForwardReply {
				err := in.Serve(ctx, instance.Request{Partition: partition, Class: model.ClassShort}, work)
				if err != nil {
					return &peerpb.ForwardReply{Status: 429}
				}
				return &peerpb.ForwardReply{Status: 200}
			})
		}
		for range b.N {
			runStorm(b, func(ctx context.Context) bool {
				reply, err := f.instances[0].Dispatch(ctx, instance.Request{Partition: partition, Class: model.ClassShort},
					func() *peerpb.Forward { return &peerpb.Forward{} }, work)
				return err == nil && reply.GetStatus() == 200
			})
		}
	})
	b.Run("baseline_fifo", func(b *testing.B) {
		for range b.N {
			slots := make(chan struct{}, stormConcurrency)
			runStorm(b, func(ctx context.Context) bool {
				// The baseline owner does not notice that a caller has timed out, and executes every request.
				done := make(chan struct{})
				go func() {
					slots <- struct{}{}
					time.Sleep(stormServiceTime)
					<-slots
					close(done)
				}()
				select {
				case <-done:
					return true
				case <-ctx.Done():
					return false
				}
			})
		}
	})
}

// partitionServedBy returns an intent partition that the instance with index at serves.
func (f *fleet) partitionServedBy(b *testing.B, at int) int {
	b.Helper()
	for n := range model.IntentPartitions {
		if _, err := f.instances[at].Status(n, "i0-none"); verdict.From(err).Code == verdict.CodeNotFound {
			return n
		}
	}
	b.Fatalf("instance %d serves no intent partition", at)
	return -1
}

// runStorm runs 3 s at four fifths of the capacity, 4 s at three times the capacity, and 4 s at four fifths again.
func runStorm(b *testing.B, request func(context.Context) bool) {
	s := &storm{began: time.Now()}
	var wg sync.WaitGroup
	for second := range 11 {
		rate := stormBaseRate
		if second >= 3 && second < 7 {
			rate = 3 * 2000
		}
		s.sendSecond(&wg, second, rate, request)
	}
	wg.Wait()
	perSecond := func(from, to int) float64 {
		sum := int64(0)
		for i := from; i < to; i++ {
			sum += s.succeeded[i].Load()
		}
		return float64(sum) / float64(to-from)
	}
	b.ReportMetric(perSecond(1, 3), "before/s")
	b.ReportMetric(perSecond(4, 7), "during/s")
	b.ReportMetric(perSecond(7, 8), "first-second-after/s")
	b.ReportMetric(perSecond(8, 11), "after/s")
}

// sendSecond starts the new requests of one second, spread over its milliseconds. Retries are additional.
func (s *storm) sendSecond(wg *sync.WaitGroup, second, rate int, request func(context.Context) bool) {
	rng := rand.New(rand.NewPCG(5, uint64(second)))
	sent := 0
	for tick := range 1000 {
		at := s.began.Add(time.Duration(second)*time.Second + time.Duration(tick)*time.Millisecond)
		time.Sleep(time.Until(at))
		for ; sent < rate*(tick+1)/1000; sent++ {
			jitter := rng.Float64()
			wg.Go(func() { s.callWithRetries(jitter, request) })
		}
	}
}

// callWithRetries sends a request and retries it after 50 to 150 ms when it fails, as an impatient client does.
func (s *storm) callWithRetries(jitter float64, request func(context.Context) bool) {
	for range 1 + stormRetries {
		ctx, cancel := context.WithTimeout(context.Background(), stormTimeout)
		ok := request(ctx)
		cancel()
		if ok {
			if i := int(time.Since(s.began) / time.Second); i < len(s.succeeded) {
				s.succeeded[i].Add(1)
			}
			return
		}
		s.failedAttempts.Add(1)
		time.Sleep(time.Duration((0.5 + jitter) * float64(100*time.Millisecond)))
	}
}
