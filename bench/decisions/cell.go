// Package decisions measures the placement decisions of a rack core on a virtual clock, next to strict FIFO with first
// fit in the same run. Claims and workers are small fakes at the core's interface.
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
	// claimTime is the round trip to the intent owner, workerTime the way to a worker or back.
	claimTime  = 1500 * time.Microsecond
	workerTime = 500 * time.Microsecond
	// reportEvery is the time between a worker's reports when nothing ends.
	reportEvery = time.Second
	tickEvery   = 250 * time.Millisecond
)

// job is one task with the usage and run time that it really has.
type job struct {
	task    model.Task
	used    model.Resources
	run     time.Duration
	offered time.Time
	started time.Time
	ended   time.Time
}

// events runs functions in order of virtual time.
type events struct {
	now   time.Time
	queue eventHeap
	n     int
}

type event struct {
	at time.Time
	n  int
	f  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].n < h[j].n
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (e *events) after(d time.Duration, f func()) {
	e.n++
	heap.Push(&e.queue, event{e.now.Add(d), e.n, f})
}

func (e *events) runUntil(end time.Time) {
	for len(e.queue) > 0 && !e.queue[0].at.After(end) {
		next := heap.Pop(&e.queue).(event)
		e.now = next.at
		next.f()
	}
	e.now = end
}

// scheduler starts jobs that are offered to it.
type scheduler interface {
	offer(j *job)
}

// fleet drives a rack core.
type fleet struct {
	*events
	core     *rack.Core
	jobs     map[model.TaskID]*job
	running  map[string]map[model.TaskID]*startedJob
	results  map[string][]worker.Result
	sequence uint64
	// onEnd is called when a job ends; nil calls nothing.
	onEnd func(*job)
	// overcommitted counts the starts that exceed a worker by declared demand.
	overcommitted int
	capacity      map[string]model.Resources
}

type startedJob struct {
	*job
	token model.StartToken
}

var start = time.Unix(1_000_000, 0)

func members(n int, capacity model.Resources) []store.Member {
	out := make([]store.Member, n)
	for i := range out {
		out[i] = store.Member{ID: fmt.Sprintf("w%d", i), State: store.MemberLive, Capacity: capacity}
	}
	return out
}

func newFleet(e *events, id string, policy rack.Policy, workers []store.Member) *fleet {
	f := &fleet{
		events: e, core: rack.New(e.now, id, 1, policy), jobs: map[model.TaskID]*job{},
		running: map[string]map[model.TaskID]*startedJob{}, results: map[string][]worker.Result{}, capacity: map[string]model.Resources{},
	}
	for _, m := range workers {
		f.running[m.ID] = map[model.TaskID]*startedJob{}
		f.capacity[m.ID] = m.Capacity
	}
	f.execute(f.core.SetMembers(e.now, workers))
	for i, m := range workers {
		f.after(reportEvery*time.Duration(i)/time.Duration(len(workers)), func() { f.report(m.ID) })
	}
	f.after(tickEvery, f.tick)
	return f
}

func (f *fleet) tick() {
	f.execute(f.core.Tick(f.now))
	f.after(tickEvery, f.tick)
}

func (f *fleet) report(w string) {
	f.sync(w)
	f.after(reportEvery, func() { f.report(w) })
}

func (f *fleet) offer(j *job) {
	j.offered = f.now
	f.jobs[j.task.ID] = j
	effects, refused := f.core.Offer(f.now, []rack.Offer{{Task: j.task, IntentEpoch: 1}})
	if len(refused) > 0 {
		panic("an offer was refused: " + refused[0])
	}
	f.execute(effects)
}

func (f *fleet) stamp() worker.Stamp { return worker.Stamp(f.now.Sub(start).Milliseconds()) }

func (f *fleet) execute(effects []rack.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case rack.FenceWorker:
			f.execute(f.core.Fenced(f.now, e.Worker, worker.Inventory{BootID: "b", Now: f.stamp()}))
		case rack.ClaimTask:
			f.after(claimTime, func() {
				f.sequence++
				f.execute(f.core.ClaimResult(f.now, e.Task.ID, true, model.StartToken{Epoch: 1, Sequence: f.sequence}))
			})
		case rack.StartTask:
			f.after(workerTime, func() { f.start(e) })
		}
	}
}

func (f *fleet) start(e rack.StartTask) {
	j := f.jobs[e.Request.Task.ID]
	j.started = f.now
	f.running[e.Worker][j.task.ID] = &startedJob{j, e.Request.Token}
	var declared model.Resources
	for _, r := range f.running[e.Worker] {
		declared = declared.Add(rack.Demand(r.task))
	}
	if !declared.Fits(f.capacity[e.Worker]) {
		f.overcommitted++
	}
	f.after(workerTime, func() { f.execute(f.core.StartResult(f.now, j.task.ID, e.Request.Token, verdict.Ran)) })
	if j.run >= 0 {
		f.after(max(j.run, 2*workerTime), func() { f.end(e.Worker, j, e.Request.Token) })
	}
}

func (f *fleet) end(w string, j *job, token model.StartToken) {
	j.ended = f.now
	delete(f.running[w], j.task.ID)
	f.sequence++
	f.results[w] = append(f.results[w], worker.Result{Sequence: f.sequence, Task: j.task, Outcome: model.Outcome{
		Task: j.task.ID, Token: token, State: model.OutcomeFinished, Worker: w, RanMS: j.run.Milliseconds(),
	}})
	f.after(workerTime, func() { f.sync(w) })
	if f.onEnd != nil {
		f.onEnd(j)
	}
}

// sync hands a worker's report to the core. Usage shows up observeLag after the start.
func (f *fleet) sync(w string) {
	const observeLag = 2 * time.Second
	req, ok := f.core.SyncRequest(w, 0)
	if !ok {
		return
	}
	reply := worker.SyncReply{BootID: "b", Now: f.stamp(), Results: f.results[w]}
	f.results[w] = nil
	for id, r := range f.running[w] {
		ran := f.now.Sub(r.started)
		status := worker.TaskStatus{Task: id, Token: r.token, RanMS: ran.Milliseconds()}
		if ran > observeLag {
			status.Used = r.used
		}
		reply.Running = append(reply.Running, status)
	}
	f.execute(f.core.Synced(f.now, w, req, reply))
	for _, r := range reply.Results {
		f.core.Reported(w, reply.BootID, r.Sequence)
	}
}

// fifo is strict first in, first out with first fit: the first job waits for room and holds up all others.
type fifo struct {
	*events
	free  []model.Resources
	queue []*job
	onEnd func(*job)
}

func newFIFO(e *events, workers []store.Member) *fifo {
	f := &fifo{events: e}
	for _, m := range workers {
		f.free = append(f.free, m.Capacity)
	}
	return f
}

func (f *fifo) offer(j *job) {
	j.offered = f.now
	f.queue = append(f.queue, j)
	f.place()
}

func (f *fifo) place() {
	for len(f.queue) > 0 {
		j := f.queue[0]
		demand := rack.Demand(j.task)
		w := slices.IndexFunc(f.free, func(free model.Resources) bool { return demand.Fits(free) })
		if w < 0 {
			return
		}
		f.queue = f.queue[1:]
		f.free[w] = f.free[w].Sub(demand)
		f.after(claimTime+workerTime, func() {
			j.started = f.now
			if j.run >= 0 {
				f.after(j.run, func() { f.end(w, j, demand) })
			}
		})
	}
}

func (f *fifo) end(w int, j *job, demand model.Resources) {
	j.ended = f.now
	if f.onEnd != nil {
		f.onEnd(j)
	}
	f.after(workerTime, func() {
		f.free[w] = f.free[w].Add(demand)
		f.place()
	})
}

// waits returns the sorted waiting times of the jobs that pass a filter. A job that never started waited until end.
func waits(jobs []*job, end time.Time, keep func(*job) bool) []time.Duration {
	var out []time.Duration
	for _, j := range jobs {
		switch {
		case !keep(j) || j.offered.IsZero():
		case j.started.IsZero():
			out = append(out, end.Sub(j.offered))
		default:
			out = append(out, j.started.Sub(j.offered))
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

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// between draws a duration.
func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
