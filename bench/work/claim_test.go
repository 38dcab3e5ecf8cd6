package work

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/version/intent"
)

const (
	runningTasks = 3600
	waitingTasks = 20_000
)

var startTime = time.Unix(1_000_000, 0)

// newRackViews returns the views of n racks in six availability zones.
func newRackViews(n int) []intent.RackView {
	views := make([]intent.RackView, n)
	for i := range views {
		r := model.Resources{CPUMilli: 64_000, MemoryMiB: 1 << 18, Slots: 64}
		views[i] = intent.RackView{
			Rack: fmt.Sprintf("rack-%03d", i), Zone: fmt.Sprintf("zone-%d", i%6), Epoch: 1, Free: r, LargestFree: r, QueuedOffers: i % 7,
		}
	}
	return views
}

func newSpec(kind model.Kind, tasks int) model.IntentSpec {
	return model.IntentSpec{
		Account: "office", Team: "fleet", Name: "work", Kind: kind, Tasks: tasks,
		TaskDemand: model.Resources{CPUMilli: 500, MemoryMiB: 512}, RunTimeMS: 1000, Idempotent: true,
	}
}

func confirm(c *intent.Core, id string, s model.IntentSpec) []intent.Effect {
	return c.Confirmed(startTime, model.Intent{ID: id, PlanID: "p-" + id, Spec: s, State: model.IntentConfirmed, ConfirmedAt: startTime})
}

// newLoadedCore returns a core with 3,600 running tasks, one fifth of which are service tasks, and a number of waiting tasks
// in intents of 100.
func newLoadedCore(b *testing.B, waiting int) *intent.Core {
	b.Helper()
	c := intent.New(3, 1, intent.DefaultPolicy())
	c.SetRacks(startTime, newRackViews(122))
	startTasks := func(id string, s model.IntentSpec) {
		for _, e := range confirm(c, id, s) {
			o, ok := e.(intent.OfferTasks)
			if !ok {
				continue
			}
			for _, t := range o.Tasks {
				if token, granted := c.Claim(startTime, t.ID, o.Rack, 1); granted {
					c.Started(startTime, t.ID, token, "w")
				}
			}
		}
	}
	startTasks("i3-services", newSpec(model.KindService, runningTasks/5))
	startTasks("i3-running", newSpec(model.KindBatch, runningTasks-runningTasks/5))
	for i := range waiting / 100 {
		confirm(c, fmt.Sprintf("i3-w%d", i), newSpec(model.KindBatch, 100))
	}
	confirm(c, "i3-calls", newSpec(model.KindCall, 1))
	return c
}

// BenchmarkClaim measures granted claims per second, and complete calls per second, on one core with 3,600 running and 20,000
// waiting tasks.
func BenchmarkClaim(b *testing.B) {
	b.Run("claim", func(b *testing.B) {
		c := newLoadedCore(b, waitingTasks)
		b.ResetTimer()
		for i := range b.N {
			n := i % waitingTasks
			if n == 0 && i > 0 {
				b.StopTimer()
				c = newLoadedCore(b, waitingTasks)
				b.StartTimer()
			}
			id := model.NewTaskID(fmt.Sprintf("i3-w%d", n/100), 0, n%100)
			if _, granted := c.Claim(startTime, id, "rack-000", 1); !granted {
				b.Fatalf("the claim of task %s was not granted", id)
			}
		}
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	})
	b.Run("call", func(b *testing.B) {
		c := newLoadedCore(b, waitingTasks)
		now := startTime
		b.ResetTimer()
		for i := range b.N {
			now = now.Add(100 * time.Microsecond)
			res, err := c.Call(now, "i3-calls", model.StartToken{}, fmt.Sprint(i), nil)
			if err != nil {
				b.Fatal(err)
			}
			token, granted := c.Claim(now, res.Task.ID, "rack-000", 1)
			if !granted {
				b.Fatalf("the claim of call %s was not granted", res.Task.ID)
			}
			c.Started(now, res.Task.ID, token, "w")
			if _, final, _ := c.Ended(now, res.Task, model.Outcome{Task: res.Task.ID, Token: token, State: model.OutcomeFinished}); !final {
				b.Fatalf("the outcome of call %s was not final", res.Task.ID)
			}
			if i%5000 == 0 {
				c.Tick(now)
			}
		}
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "calls/s")
	})
}

// BenchmarkTick measures one of a series of ticks 500 ms apart for several numbers of waiting tasks, and the offers that it
// repeats.
func BenchmarkTick(b *testing.B) {
	for _, waiting := range []int{0, 5000, 20_000, 40_000} {
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := newLoadedCore(b, waiting)
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := startTime.Add(time.Minute)
			offers, messages := 0, 0
			b.ResetTimer()
			for range b.N {
				now = now.Add(500 * time.Millisecond)
				for _, e := range c.Tick(now) {
					if o, ok := e.(intent.OfferTasks); ok {
						offers += len(o.Tasks)
						messages++
					}
				}
			}
			b.ReportMetric(float64(offers)/float64(b.N), "offers/tick")
			b.ReportMetric(float64(messages)/float64(b.N), "messages/tick")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(waiting+runningTasks), "B/task")
		})
	}
}

// BenchmarkCancelWaveIntent measures the cancellation of half of all waiting tasks at once. The cost per task must not
// depend on the number of tasks.
func BenchmarkCancelWaveIntent(b *testing.B) {
	for _, wave := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(wave), func(b *testing.B) {
			endedTasks, messages := 0, 0
			for range b.N {
				b.StopTimer()
				c := intent.New(3, 1, intent.DefaultPolicy())
				c.SetRacks(startTime, newRackViews(122))
				ids := make([]string, 2*wave)
				for i := range ids {
					ids[i] = fmt.Sprintf("i3-%d", i)
					confirm(c, ids[i], newSpec(model.KindBatch, 1))
				}
				b.StartTimer()
				for _, e := range c.Cancelled(startTime, ids[:wave]...) {
					switch e.(type) {
					case intent.TaskEnded:
						endedTasks++
					case intent.WithdrawTasks:
						messages++
					}
				}
			}
			if endedTasks != b.N*wave {
				b.Fatalf("%d tasks ended, want %d", endedTasks, b.N*wave)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(endedTasks), "ns/task")
			b.ReportMetric(float64(messages)/float64(b.N), "messages/wave")
		})
	}
}
