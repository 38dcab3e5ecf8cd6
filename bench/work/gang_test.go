package work

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/version/intent"
)

const (
	// roundTrip is the time for a message between instances and its reply.
	roundTrip = 1500 * time.Microsecond
	// tableWriteTime is the time for a transaction on the table.
	tableWriteTime      = 10 * time.Millisecond
	tickInterval        = 500 * time.Millisecond
	ageExchangeInterval = 500 * time.Millisecond
	gangSize            = 64
	gangRacks           = 8
	gangRunTime         = 2 * time.Second
)

// event is a function to run at a virtual time; events at the same time run by sequence.
type event struct {
	at       time.Time
	sequence int
	do       func()
}

type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].sequence < e[j].sequence)
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// gangRack is a rack with slots of one task each, and its gang reservations by ID: their tasks and when they expire.
type gangRack struct {
	slots        int
	used         int
	reservations map[string]map[model.TaskID]bool
	expiresAt    map[string]time.Time
}

// gangSimulation simulates gangs of several intent partitions on shared racks in virtual time.
type gangSimulation struct {
	now                 time.Time
	queue               eventHeap
	lastSequence        int
	cores               []*intent.Core
	racks               map[string]*gangRack
	rackNames           []string
	rng                 *rand.Rand
	startedAt           map[string]time.Time
	completions         map[string]int
	reservationRequests int
}

func newGangSimulation(partitions, slots int) *gangSimulation {
	sim := &gangSimulation{now: startTime, racks: map[string]*gangRack{}, rng: rand.New(rand.NewPCG(1, 2)), startedAt: map[string]time.Time{}, completions: map[string]int{}}
	for i := range gangRacks {
		name := fmt.Sprintf("rack-%d", i)
		sim.rackNames = append(sim.rackNames, name)
		sim.racks[name] = &gangRack{slots: slots, reservations: map[string]map[model.TaskID]bool{}, expiresAt: map[string]time.Time{}}
	}
	for p := range partitions {
		core := intent.New(p, 1, intent.DefaultPolicy())
		sim.cores = append(sim.cores, core)
		sim.every(time.Duration(p)*time.Millisecond, tickInterval, func() {
			core.SetRacks(sim.now, sim.rackViews())
			sim.execute(core, core.Tick(sim.now))
		})
	}
	sim.every(0, ageExchangeInterval, sim.exchangeGangAges)
	return sim
}

func (sim *gangSimulation) after(d time.Duration, do func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, event{sim.now.Add(d), sim.lastSequence, do})
}

func (sim *gangSimulation) every(first, period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		sim.after(period, again)
	}
	sim.after(first, again)
}

func (sim *gangSimulation) rackViews() []intent.RackView {
	views := make([]intent.RackView, 0, len(sim.rackNames))
	for i, name := range sim.rackNames {
		n := int64(sim.racks[name].slots - sim.racks[name].used)
		free := model.Resources{CPUMilli: 500 * n, MemoryMiB: 512 * n, Slots: n}
		views = append(views, intent.RackView{Rack: name, Zone: fmt.Sprint(i % 3), Epoch: 1, Free: free, LargestFree: free})
	}
	return views
}

func (sim *gangSimulation) exchangeGangAges() {
	for i, core := range sim.cores {
		var oldest intent.GangAge
		for j, other := range sim.cores {
			if age := other.OldestGang(); i != j && age.IsOlderThan(oldest) {
				oldest = age
			}
		}
		core.SetOldestOtherGang(oldest)
	}
}

func (sim *gangSimulation) execute(core *intent.Core, effects []intent.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case intent.ReserveGang:
			sim.reservationRequests++
			sim.after(roundTrip/2, func() {
				placed := sim.reserve(e)
				sim.after(roundTrip/2, func() {
					sim.execute(core, core.ReserveGangResult(sim.now, e.Tasks[0].Intent, e.ReservationID, e.Rack, 1, placed))
				})
			})
		case intent.ReleaseGang:
			sim.after(roundTrip/2, func() { sim.release(e.Rack, e.ReservationID) })
		case intent.CommitGang:
			sim.after(tableWriteTime, func() {
				_, ok := core.PrepareStart(e.ID, e.ReservationID)
				sim.execute(core, core.GangCommitted(sim.now, e.ID, e.ReservationID, ok))
			})
		case intent.StartGang:
			sim.after(roundTrip/2, func() { sim.startReserved(core, e) })
		}
	}
}

func (sim *gangSimulation) reserve(e intent.ReserveGang) []model.Placement {
	r := sim.racks[e.Rack]
	if r.reservations[e.ReservationID] == nil {
		r.reservations[e.ReservationID] = map[model.TaskID]bool{}
	}
	r.expiresAt[e.ReservationID] = sim.now.Add(e.TTL)
	sim.after(e.TTL, func() {
		if until, ok := r.expiresAt[e.ReservationID]; ok && !sim.now.Before(until) {
			sim.release(e.Rack, e.ReservationID)
		}
	})
	var placed []model.Placement
	for _, t := range e.Tasks {
		if !r.reservations[e.ReservationID][t.ID] && r.used < r.slots {
			r.reservations[e.ReservationID][t.ID] = true
			r.used++
		}
		if r.reservations[e.ReservationID][t.ID] {
			placed = append(placed, model.Placement{Task: t.ID, Rack: e.Rack})
		}
	}
	return placed
}

func (sim *gangSimulation) release(rack, reservation string) {
	r := sim.racks[rack]
	r.used -= len(r.reservations[reservation])
	delete(r.reservations, reservation)
	delete(r.expiresAt, reservation)
}

func (sim *gangSimulation) startReserved(core *intent.Core, e intent.StartGang) {
	r := sim.racks[e.Rack]
	for i, id := range e.Tasks {
		if !r.reservations[e.ReservationID][id] {
			panic(fmt.Sprintf("task %s is started on %s without a reservation", id, e.Rack))
		}
		token := e.Tokens[i]
		sim.startedAt[string(id)] = sim.now
		core.Started(sim.now, id, token, "w")
		sim.after(gangRunTime, func() {
			r.used--
			effects, _, err := core.Ended(sim.now, model.Task{ID: id}, model.Outcome{Task: id, Token: token, State: model.OutcomeFinished, RanMS: gangRunTime.Milliseconds()})
			if err != nil {
				panic(err)
			}
			sim.completions[string(id)]++
			sim.execute(core, effects)
		})
	}
	delete(r.reservations, e.ReservationID)
	delete(r.expiresAt, e.ReservationID)
}

// startShortTasks keeps some of the slots busy with short tasks, which arrive at random times.
func (sim *gangSimulation) startShortTasks(perSecond float64, run time.Duration) {
	var next func()
	next = func() {
		r := sim.racks[sim.rackNames[sim.rng.IntN(len(sim.rackNames))]]
		if r.used < r.slots {
			r.used++
			sim.after(run, func() { r.used-- })
		}
		sim.after(time.Duration(sim.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// BenchmarkGangCommit starts 16 gangs of 64 tasks from 4 partitions at once, beside short tasks, on 8 racks with capacity for
// two gangs at a time. The baseline starts the gangs strictly in order, two at a time, without any messages.
func BenchmarkGangCommit(b *testing.B) {
	const gangs, partitions = 16, 4
	var waits []float64
	var makespan time.Duration
	reservationRequests := 0
	for range b.N {
		sim := newGangSimulation(partitions, 2*gangSize/gangRacks+1)
		sim.startShortTasks(40, 100*time.Millisecond)
		sim.after(0, func() {
			for _, core := range sim.cores {
				core.SetRacks(sim.now, sim.rackViews())
			}
			for g := range gangs {
				core := sim.cores[g%partitions]
				gangSpec := newSpec(model.KindGang, gangSize)
				in := model.Intent{ID: fmt.Sprintf("i-%d", g), Spec: gangSpec, State: model.IntentConfirmed, ConfirmedAt: startTime.Add(time.Duration(g) * time.Millisecond)}
				sim.execute(core, core.Confirmed(sim.now, in))
			}
		})
		for len(sim.completions) < gangs*gangSize {
			e := heap.Pop(&sim.queue).(event)
			sim.now = e.at
			e.do()
			if sim.now.Sub(startTime) > time.Hour {
				b.Fatalf("livelock: %d of %d members have ended after an hour", len(sim.completions), gangs*gangSize)
			}
		}
		for id, n := range sim.completions {
			if n != 1 {
				b.Fatalf("task %s ran %d times, want once", id, n)
			}
		}
		makespan += sim.now.Sub(startTime)
		reservationRequests += sim.reservationRequests
		waits = append(waits, gangWaits(b, sim, gangs)...)
	}
	sort.Float64s(waits)
	n := float64(b.N)
	b.ReportMetric(makespan.Seconds()/n, "makespan-s")
	b.ReportMetric((gangRunTime * gangs / 2).Seconds(), "baseline-makespan-s")
	b.ReportMetric(waits[len(waits)/2], "wait-p50-s")
	b.ReportMetric(waits[len(waits)-1], "wait-max-s")
	b.ReportMetric(float64(reservationRequests)/(n*gangs), "holds/gang")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/(n*gangs), "cpu-µs/gang")
}

// gangWaits returns the seconds until each gang started, and checks that its members started within one round trip.
func gangWaits(b *testing.B, sim *gangSimulation, gangs int) []float64 {
	b.Helper()
	waits := make([]float64, 0, gangs)
	for g := range gangs {
		var first, last time.Time
		for i := range gangSize {
			at := sim.startedAt[string(model.NewTaskID(fmt.Sprintf("i-%d", g), 0, i))]
			if first.IsZero() || at.Before(first) {
				first = at
			}
			if at.After(last) {
				last = at
			}
		}
		if last.Sub(first) > roundTrip {
			b.Fatalf("the members of gang %d started within %s, want at most %s", g, last.Sub(first), roundTrip)
		}
		waits = append(waits, last.Sub(startTime).Seconds())
	}
	return waits
}
