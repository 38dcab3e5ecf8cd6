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
	// roundTrip is the time for a message between instances and its answer.
	roundTrip = 1500 * time.Microsecond
	// tableWrite is the time for a transaction.
	tableWrite = 10 * time.Millisecond
	tickEvery  = 500 * time.Millisecond
	usageEvery = 500 * time.Millisecond
	gangSize   = 64
	gangRacks  = 8
	gangRun    = 2 * time.Second
)

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].order < e[j].order)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// gangRack has slots of one task each.
type gangRack struct {
	slots int
	used  int
	holds map[string]map[model.TaskID]bool
	until map[string]time.Time
}

// gangCell runs gangs of several intent partitions on shared racks in virtual time.
type gangCell struct {
	now    time.Time
	queue  events
	order  int
	cores  []*intent.Core
	racks  map[string]*gangRack
	names  []string
	rng    *rand.Rand
	starts map[string]time.Time
	ends   map[string]int
	holds  int
}

func newGangCell(partitions, slots int) *gangCell {
	c := &gangCell{now: start, racks: map[string]*gangRack{}, rng: rand.New(rand.NewPCG(1, 2)), starts: map[string]time.Time{}, ends: map[string]int{}}
	for i := range gangRacks {
		name := fmt.Sprintf("rack-%d", i)
		c.names = append(c.names, name)
		c.racks[name] = &gangRack{slots: slots, holds: map[string]map[model.TaskID]bool{}, until: map[string]time.Time{}}
	}
	for p := range partitions {
		core := intent.New(p, 1, intent.DefaultPolicy())
		c.cores = append(c.cores, core)
		c.every(time.Duration(p)*time.Millisecond, tickEvery, func() {
			core.SetRacks(c.now, c.views())
			c.execute(core, core.Tick(c.now))
		})
	}
	c.every(0, usageEvery, c.spreadAges)
	return c
}

func (c *gangCell) after(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.queue, event{c.now.Add(d), c.order, do})
}

func (c *gangCell) every(first, period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		c.after(period, again)
	}
	c.after(first, again)
}

func (c *gangCell) views() []intent.RackView {
	views := make([]intent.RackView, 0, len(c.names))
	for i, name := range c.names {
		n := int64(c.racks[name].slots - c.racks[name].used)
		free := model.Resources{CPUMilli: 500 * n, MemoryMiB: 512 * n, Slots: n}
		views = append(views, intent.RackView{Rack: name, Zone: fmt.Sprint(i % 3), Epoch: 1, Free: free, Largest: free})
	}
	return views
}

func (c *gangCell) spreadAges() {
	for i, core := range c.cores {
		var oldest intent.GangAge
		for j, other := range c.cores {
			if age := other.OldestGang(); i != j && age.Older(oldest) {
				oldest = age
			}
		}
		core.SetOlderGang(oldest)
	}
}

func (c *gangCell) execute(core *intent.Core, effects []intent.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case intent.HoldTasks:
			c.holds++
			c.after(roundTrip/2, func() {
				placed := c.hold(e)
				c.after(roundTrip/2, func() {
					c.execute(core, core.HoldAnswered(c.now, e.Tasks[0].Intent, e.Hold, e.Rack, 1, placed))
				})
			})
		case intent.ReleaseHold:
			c.after(roundTrip/2, func() { c.release(e.Rack, e.Hold) })
		case intent.CommitGang:
			c.after(tableWrite, func() {
				_, ok := core.PrepareStart(e.ID, e.Hold)
				c.execute(core, core.GangCommitted(c.now, e.ID, e.Hold, ok))
			})
		case intent.StartHeld:
			c.after(roundTrip/2, func() { c.start(core, e) })
		}
	}
}

func (c *gangCell) hold(e intent.HoldTasks) []model.Placement {
	r := c.racks[e.Rack]
	if r.holds[e.Hold] == nil {
		r.holds[e.Hold] = map[model.TaskID]bool{}
	}
	r.until[e.Hold] = c.now.Add(e.Term)
	c.after(e.Term, func() {
		if until, ok := r.until[e.Hold]; ok && !c.now.Before(until) {
			c.release(e.Rack, e.Hold)
		}
	})
	var placed []model.Placement
	for _, t := range e.Tasks {
		if !r.holds[e.Hold][t.ID] && r.used < r.slots {
			r.holds[e.Hold][t.ID] = true
			r.used++
		}
		if r.holds[e.Hold][t.ID] {
			placed = append(placed, model.Placement{Task: t.ID, Rack: e.Rack})
		}
	}
	return placed
}

func (c *gangCell) release(rack, hold string) {
	r := c.racks[rack]
	r.used -= len(r.holds[hold])
	delete(r.holds, hold)
	delete(r.until, hold)
}

func (c *gangCell) start(core *intent.Core, e intent.StartHeld) {
	r := c.racks[e.Rack]
	for i, id := range e.Tasks {
		if !r.holds[e.Hold][id] {
			panic("a member is started that is not held")
		}
		token := e.Tokens[i]
		c.starts[string(id)] = c.now
		core.Started(c.now, id, token, "w")
		c.after(gangRun, func() {
			r.used--
			effects, _, err := core.Ended(c.now, model.Task{ID: id}, model.Outcome{Task: id, Token: token, State: model.OutcomeFinished, RanMS: gangRun.Milliseconds()})
			if err != nil {
				panic(err)
			}
			c.ends[string(id)]++
			c.execute(core, effects)
		})
	}
	delete(r.holds, e.Hold)
	delete(r.until, e.Hold)
}

// background keeps a part of the slots busy with tasks that come and go, as short work does.
func (c *gangCell) background(perSecond float64, run time.Duration) {
	var next func()
	next = func() {
		r := c.racks[c.names[c.rng.IntN(len(c.names))]]
		if r.used < r.slots {
			r.used++
			c.after(run, func() { r.used-- })
		}
		c.after(time.Duration(c.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	next()
}

// BenchmarkGangCommit starts 16 gangs of 64 tasks of 4 partitions at once on 8 racks that hold two gangs at a time,
// next to short work. The baseline starts the gangs strictly in order, two at a time, without any messages.
func BenchmarkGangCommit(b *testing.B) {
	const gangs, partitions = 16, 4
	var waits []float64
	var makespan time.Duration
	holds := 0
	for range b.N {
		c := newGangCell(partitions, 2*gangSize/gangRacks+1)
		c.background(40, 100*time.Millisecond)
		c.after(0, func() {
			for _, core := range c.cores {
				core.SetRacks(c.now, c.views())
			}
			for g := range gangs {
				core := c.cores[g%partitions]
				s := spec(model.KindGang, gangSize)
				in := model.Intent{ID: fmt.Sprintf("i-%d", g), Spec: s, State: model.IntentConfirmed, ConfirmedAt: start.Add(time.Duration(g) * time.Millisecond)}
				c.execute(core, core.Confirmed(c.now, in))
			}
		})
		for len(c.ends) < gangs*gangSize {
			e := heap.Pop(&c.queue).(event)
			c.now = e.at
			e.do()
			if c.now.Sub(start) > time.Hour {
				b.Fatalf("livelock: %d of %d members have ended after an hour", len(c.ends), gangs*gangSize)
			}
		}
		for id, n := range c.ends {
			if n != 1 {
				b.Fatalf("%s ran %d times", id, n)
			}
		}
		makespan += c.now.Sub(start)
		holds += c.holds
		waits = append(waits, gangWaits(b, c, gangs)...)
	}
	sort.Float64s(waits)
	n := float64(b.N)
	b.ReportMetric(makespan.Seconds()/n, "makespan-s")
	b.ReportMetric((gangRun * gangs / 2).Seconds(), "baseline-makespan-s")
	b.ReportMetric(waits[len(waits)/2], "wait-p50-s")
	b.ReportMetric(waits[len(waits)-1], "wait-max-s")
	b.ReportMetric(float64(holds)/(n*gangs), "holds/gang")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/(n*gangs), "cpu-µs/gang")
}

// gangWaits returns the seconds until each gang started, and checks that its members started together.
func gangWaits(b *testing.B, c *gangCell, gangs int) []float64 {
	b.Helper()
	waits := make([]float64, 0, gangs)
	for g := range gangs {
		var first, last time.Time
		for i := range gangSize {
			at := c.starts[string(model.NewTaskID(fmt.Sprintf("i-%d", g), 0, i))]
			if first.IsZero() || at.Before(first) {
				first = at
			}
			if at.After(last) {
				last = at
			}
		}
		if last.Sub(first) > roundTrip {
			b.Fatalf("gang %d started over %s", g, last.Sub(first))
		}
		waits = append(waits, last.Sub(start).Seconds())
	}
	return waits
}
