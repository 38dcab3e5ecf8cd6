package decisions

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/store"
	"github.com/lentiltide/lentiltide/version/rack"
)

const (
	gangTasks = 64
	gangRun   = 20 * time.Second
	holdTerm  = 2 * time.Second
)

// gang is a fake of the intent owner's side: holds in ascending rack order, then one start of all, or release and retry.
type gang struct {
	id       string
	racks    []*fleet
	e        *events
	r        *rand.Rand
	asked    time.Time
	started  time.Time
	attempts int
	// cost is the processor time of the holds, starts and releases.
	cost time.Duration
	left []*job
	held map[int][]*job
}

func (g *gang) attempt() {
	g.attempts++
	g.held = map[int][]*job{}
	for _, js := range g.left {
		js.offered = g.e.now
	}
	g.hold(0, g.left)
}

func (g *gang) hold(n int, want []*job) {
	if len(want) == 0 {
		g.start()
		return
	}
	if n == len(g.racks) {
		g.release()
		return
	}
	f := g.racks[n]
	tasks := make([]model.Task, len(want))
	for i, j := range want {
		tasks[i] = j.task
		f.jobs[j.task.ID] = j
	}
	began := time.Now()
	placements, effects, err := f.core.Hold(f.now, rack.HoldRequest{ID: g.holdID(), IntentEpoch: 1, Tasks: tasks, Term: holdTerm})
	g.cost += time.Since(began)
	if err != nil {
		panic(err)
	}
	f.execute(effects)
	var rest []*job
	for _, j := range want {
		if slices.ContainsFunc(placements, func(p model.Placement) bool { return p.Task == j.task.ID }) {
			g.held[n] = append(g.held[n], j)
		} else {
			rest = append(rest, j)
		}
	}
	g.e.after(claimTime, func() { g.hold(n+1, rest) })
}

func (g *gang) holdID() string { return fmt.Sprintf("%s-%d", g.id, g.attempts) }

func (g *gang) start() {
	g.started = g.e.now
	for n, f := range g.racks {
		var ids []model.TaskID
		var tokens []model.StartToken
		for _, j := range g.held[n] {
			f.sequence++
			ids, tokens = append(ids, j.task.ID), append(tokens, model.StartToken{Epoch: 1, Sequence: f.sequence})
		}
		if len(ids) == 0 {
			continue
		}
		began := time.Now()
		effects, err := f.core.StartHeld(f.now, g.holdID(), ids, tokens)
		g.cost += time.Since(began)
		if err != nil {
			panic(err)
		}
		f.execute(effects)
	}
}

func (g *gang) release() {
	for n, f := range g.racks {
		if len(g.held[n]) > 0 {
			began := time.Now()
			effects := f.core.Release(f.now, g.holdID())
			g.cost += time.Since(began)
			f.execute(effects)
		}
	}
	g.e.after(between(g.r, 50*time.Millisecond, 150*time.Millisecond), g.attempt)
}

// gangJobs returns the start times of gangs that ask at the same time, as jobs of one task each.
func gangJobs(n int, r *rand.Rand) [][]*job {
	gangs := make([][]*job, n)
	for i := range gangs {
		l := &workload{r: r}
		for range gangTasks {
			l.add(fmt.Sprintf("gang%d", i), fmt.Sprintf("team%d", i%4), model.ClassBatch, model.KindGang, resources(6000, 16<<10), gangRun)
		}
		gangs[i] = l.jobs
	}
	return gangs
}

// BenchmarkGangStart reports the time until gangs of 64 tasks start over 8 racks of 8 workers, for one gang alone and for
// 4, 12 and 24 at once, of which the racks hold 8. Target: constant cost each, no livelock.
func BenchmarkGangStart(b *testing.B) {
	for _, n := range []int{1, 4, 12, 24} {
		b.Run(fmt.Sprintf("gangs=%d", n), func(b *testing.B) {
			for range b.N {
				r := newRand()
				e := &events{now: start}
				var racks []*fleet
				for i := range 8 {
					racks = append(racks, newFleet(e, fmt.Sprintf("r%d", i), rack.DefaultPolicy(), members(8, creaseUnion)))
				}
				var gangs []*gang
				for i, jobs := range gangJobs(n, r) {
					g := &gang{id: fmt.Sprintf("g%d", i), racks: racks, e: e, r: r, asked: start, left: jobs}
					gangs = append(gangs, g)
					e.after(between(r, 0, 5*time.Millisecond), g.attempt)
				}
				e.runUntil(start.Add(3 * time.Minute))
				reportGangs(b, gangs)
				b.ReportMetric(fifoGangs(n), "fifo-last-ms")
			}
		})
	}
}

func reportGangs(b *testing.B, gangs []*gang) {
	var times []time.Duration
	attempts, partial, waiting := 0, 0, 0
	var cost time.Duration
	for _, g := range gangs {
		attempts += g.attempts
		cost += g.cost
		started := 0
		for _, j := range g.left {
			if !j.started.IsZero() {
				started++
			}
		}
		if started != 0 && started != gangTasks {
			partial++
		}
		if g.started.IsZero() {
			waiting++
			continue
		}
		times = append(times, g.started.Sub(g.asked))
	}
	slices.Sort(times)
	b.ReportMetric(ms(quantile(times, 0.5)), "p50-ms")
	b.ReportMetric(ms(quantile(times, 1)), "last-ms")
	b.ReportMetric(float64(attempts)/float64(len(gangs)), "attempts/gang")
	b.ReportMetric(float64(partial), "partial")
	b.ReportMetric(float64(waiting), "waiting")
	b.ReportMetric(float64(cost.Microseconds())/float64(attempts), "cpu-us/attempt")
}

// fifoGangs returns when the last gang starts if one queue with full knowledge of all racks starts gangs in order.
func fifoGangs(n int) float64 {
	e := &events{now: start}
	var workers []store.Member
	for range 8 {
		workers = append(workers, members(8, creaseUnion)...)
	}
	f := newFIFO(e, workers)
	gangs := gangJobs(n, newRand())
	for _, jobs := range gangs {
		for _, j := range jobs {
			f.offer(j)
		}
	}
	e.runUntil(start.Add(3 * time.Minute))
	var last time.Duration
	for _, jobs := range gangs {
		for _, j := range jobs {
			last = max(last, j.started.Sub(start))
		}
	}
	return ms(last)
}
