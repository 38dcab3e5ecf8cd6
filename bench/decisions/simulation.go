// Package decisions measures the placement decisions of a rack core on a virtual clock, and compares them in the same run
// with strict FIFO and first fit. Claims and workers are small fakes at the core's interface.
package decisions

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/rack"
	"github.com/lentiltide/lentiltide/worker"
)

const (
	// claimRoundTrip is the round trip to the intent owner, workerLatency the one-way latency to or from a worker.
	claimRoundTrip = 1500 * time.Microsecond
	workerLatency  = 500 * time.Microsecond
	// syncInterval is the time between the reports of a worker on which no task finishes.
	syncInterval = time.Second
	tickInterval = 250 * time.Millisecond
)

// job is one task with its actual usage and run time, which may differ from what the task declares. A job with a negative
// run time never finishes.
type job struct {
	task      model.Task
	usage     model.Resources
	runTime   time.Duration
	offeredAt time.Time
	startedAt time.Time
	endedAt   time.Time
}

// eventLoop runs functions in order of virtual time; those of the same time run in the order in which they were added.
type eventLoop struct {
	now          time.Time
	queue        eventHeap
	lastSequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (e *eventLoop) after(d time.Duration, f func()) {
	e.lastSequence++
	heap.Push(&e.queue, event{e.now.Add(d), e.lastSequence, f})
}

func (e *eventLoop) runUntil(end time.Time) {
	for len(e.queue) > 0 && !e.queue[0].at.After(end) {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// scheduler starts jobs that are offered to it.
type scheduler interface {
	offer(j *job)
}

// fleet simulates the workers and the intent owner of one rack core.
type fleet struct {
	*eventLoop
	core              *rack.Core
	jobs              map[model.TaskID]*job
	running           map[string]map[model.TaskID]*runningJob
	unreportedResults map[string][]worker.Result
	sequence          uint64
	// onEnd is called when a job finishes; it may be nil.
	onEnd func(*job)
	// overcommittedStarts counts the starts after which the declared demand exceeds the capacity of the worker.
	overcommittedStarts int
	capacity            map[string]model.Resources
}

type runningJob struct {
	*job
	token model.StartToken
}

var startTime = time.Unix(1_000_000, 0)

func newMembers(n int, capacity model.Resources) []store.Member {
	out := make([]store.Member, n)
	for i := range out {
		out[i] = store.Member{ID: fmt.Sprintf("w%d", i), State: store.MemberLive, Capacity: capacity}
	}
	return out
}

func newFleet(e *eventLoop, id string, policy rack.Policy, workers []store.Member) *fleet {
	f := &fleet{
		eventLoop: e, core: rack.New(e.now, id, 1, policy), jobs: map[model.TaskID]*job{},
		running: map[string]map[model.TaskID]*runningJob{}, unreportedResults: map[string][]worker.Result{}, capacity: map[string]model.Resources{},
	}
	for _, m := range workers {
		f.running[m.ID] = map[model.TaskID]*runningJob{}
		f.capacity[m.ID] = m.Capacity
	}
	f.execute(f.core.SetMembers(e.now, workers))
	for i, m := range workers {
		f.after(syncInterval*time.Duration(i)/time.Duration(len(workers)), func() { f.syncPeriodically(m.ID) })
	}
	f.after(tickInterval, f.tick)
	return f
}

func (f *fleet) tick() {
	f.execute(f.core.Tick(f.now))
	f.after(tickInterval, f.tick)
}

func (f *fleet) syncPeriodically(w string) {
	f.sync(w)
	f.after(syncInterval, func() { f.syncPeriodically(w) })
}

func (f *fleet) offer(j *job) {
	j.offeredAt = f.now
	f.jobs[j.task.ID] = j
	effects, refused := f.core.Offer(f.now, []rack.Offer{{Task: j.task, IntentEpoch: 1}})
	if len(refused) > 0 {
		panic("an offer was refused: " + refused[0])
	}
	f.execute(effects)
}

func (f *fleet) timestamp() worker.ClockReading {
	return worker.ClockReading(f.now.Sub(startTime).Milliseconds())
}

func (f *fleet) execute(effects []rack.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case rack.FenceWorker:
			f.execute(f.core.FenceResult(f.now, e.Worker, worker.Inventory{BootID: "b", Now: f.timestamp()}))
		case rack.ClaimTask:
			f.after(claimRoundTrip, func() {
				f.sequence++
				f.execute(f.core.ClaimResult(f.now, e.Task.ID, true, model.StartToken{Epoch: 1, Sequence: f.sequence}))
			})
		case rack.StartTask:
			f.after(workerLatency, func() { f.start(e) })
		}
	}
}

func (f *fleet) start(e rack.StartTask) {
	j := f.jobs[e.Request.Task.ID]
	j.startedAt = f.now
	f.running[e.Worker][j.task.ID] = &runningJob{j, e.Request.Token}
	var declared model.Resources
	for _, r := range f.running[e.Worker] {
		declared = declared.Add(rack.Demand(r.task))
	}
	if !declared.Fits(f.capacity[e.Worker]) {
		f.overcommittedStarts++
	}
	f.after(workerLatency, func() { f.execute(f.core.StartResult(f.now, j.task.ID, e.Request.Token, verdict.Ran)) })
	if j.runTime >= 0 {
		f.after(max(j.runTime, 2*workerLatency), func() { f.finish(e.Worker, j, e.Request.Token) })
	}
}

func (f *fleet) finish(w string, j *job, token model.StartToken) {
	j.endedAt = f.now
	delete(f.running[w], j.task.ID)
	f.sequence++
	f.unreportedResults[w] = append(f.unreportedResults[w], worker.Result{Sequence: f.sequence, Task: j.task, Outcome: model.Outcome{
		Task: j.task.ID, Token: token, State: model.OutcomeFinished, Worker: w, RanMS: j.runTime.Milliseconds(),
	}})
	f.after(workerLatency, func() { f.sync(w) })
	if f.onEnd != nil {
		f.onEnd(j)
	}
}

// sync passes a worker's report to the core. The usage of a task is reported from usageDelay after its start on.
func (f *fleet) sync(w string) {
	const usageDelay = 2 * time.Second
	req, ok := f.core.SyncRequest(w, 0)
	if !ok {
		return
	}
	reply := worker.SyncReply{BootID: "b", Now: f.timestamp(), Results: f.unreportedResults[w]}
	f.unreportedResults[w] = nil
	for id, r := range f.running[w] {
		ran := f.now.Sub(r.startedAt)
		status := worker.TaskStatus{Task: id, Token: r.token, RanMS: ran.Milliseconds()}
		if ran > usageDelay {
			status.Used = r.usage
		}
		reply.Running = append(reply.Running, status)
	}
	f.execute(f.core.SyncResult(f.now, w, req, reply))
	for _, r := range reply.Results {
		f.core.OutcomeDurable(w, reply.BootID, r.Sequence)
	}
}

// fifo schedules strictly first in, first out with first fit: the first job in the queue waits for free capacity and blocks
// all others.
type fifo struct {
	*eventLoop
	free  []model.Resources
	queue []*job
	onEnd func(*job)
}

func newFIFO(e *eventLoop, workers []store.Member) *fifo {
	f := &fifo{eventLoop: e}
	for _, m := range workers {
		f.free = append(f.free, m.Capacity)
	}
	return f
}

func (f *fifo) offer(j *job) {
	j.offeredAt = f.now
	f.queue = append(f.queue, j)
	f.placeQueued()
}

func (f *fifo) placeQueued() {
	for len(f.queue) > 0 {
		j := f.queue[0]
		demand := rack.Demand(j.task)
		w := slices.IndexFunc(f.free, func(free model.Resources) bool { return demand.Fits(free) })
		if w < 0 {
			return
		}
		f.queue = f.queue[1:]
		f.free[w] = f.free[w].Sub(demand)
		f.after(claimRoundTrip+workerLatency, func() {
			j.startedAt = f.now
			if j.runTime >= 0 {
				f.after(j.runTime, func() { f.finish(w, j, demand) })
			}
		})
	}
}

func (f *fifo) finish(w int, j *job, demand model.Resources) {
	j.endedAt = f.now
	if f.onEnd != nil {
		f.onEnd(j)
	}
	f.after(workerLatency, func() {
		f.free[w] = f.free[w].Add(demand)
		f.placeQueued()
	})
}

// waitTimes returns the sorted waiting times of the jobs that pass a filter. A job that never started counts as waiting
// until end.
func waitTimes(jobs []*job, end time.Time, include func(*job) bool) []time.Duration {
	var out []time.Duration
	for _, j := range jobs {
		switch {
		case !include(j) || j.offeredAt.IsZero():
		case j.startedAt.IsZero():
			out = append(out, end.Sub(j.offeredAt))
		default:
			out = append(out, j.startedAt.Sub(j.offeredAt))
		}
	}
	slices.Sort(out)
	return out
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(float64(len(sorted))*q))]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// randomDuration draws a duration from the uniform distribution between low and high, both included.
func randomDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
