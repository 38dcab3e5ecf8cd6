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
	gangSize       = 64
	gangRunTime    = 20 * time.Second
	reservationTTL = 2 * time.Second
)

// gangOwner is a fake intent owner of one gang. It reserves capacity rack by rack in ascending order and then starts all
// tasks together, or releases what it has reserved and tries again.
type gangOwner struct {
	id          string
	racks       []*fleet
	events      *eventLoop
	rng         *rand.Rand
	requestedAt time.Time
	startedAt   time.Time
	attempts    int
	// coreTime is the time spent in the cores' calls that reserve, start and release.
	coreTime       time.Duration
	jobs           []*job
	reservedByRack map[int][]*job
}

func (g *gangOwner) attempt() {
	g.attempts++
	g.reservedByRack = map[int][]*job{}
	for _, js := range g.jobs {
		js.offeredAt = g.events.now
	}
	g.reserve(0, g.jobs)
}

func (g *gangOwner) reserve(rackIndex int, remaining []*job) {
	if len(remaining) == 0 {
		g.start()
		return
	}
	if rackIndex == len(g.racks) {
		g.release()
		return
	}
	f := g.racks[rackIndex]
	tasks := make([]model.Task, len(remaining))
	for i, j := range remaining {
		tasks[i] = j.task
		f.jobs[j.task.ID] = j
	}
	began := time.Now()
	placements, effects, err := f.core.ReserveGang(f.now, rack.GangReservationRequest{ID: g.reservationID(), IntentEpoch: 1, Tasks: tasks, TTL: reservationTTL})
	g.coreTime += time.Since(began)
	if err != nil {
		panic(err)
	}
	f.execute(effects)
	var unplaced []*job
	for _, j := range remaining {
		if slices.ContainsFunc(placements, func(p model.Placement) bool { return p.Task == j.task.ID }) {
			g.reservedByRack[rackIndex] = append(g.reservedByRack[rackIndex], j)
		} else {
			unplaced = append(unplaced, j)
		}
	}
	g.events.after(claimRoundTrip, func() { g.reserve(rackIndex+1, unplaced) })
}

func (g *gangOwner) reservationID() string { return fmt.Sprintf("%s-%d", g.id, g.attempts) }

func (g *gangOwner) start() {
	g.startedAt = g.events.now
	for n, f := range g.racks {
		var ids []model.TaskID
		var tokens []model.StartToken
		for _, j := range g.reservedByRack[n] {
			f.sequence++
			ids, tokens = append(ids, j.task.ID), append(tokens, model.StartToken{Epoch: 1, Sequence: f.sequence})
		}
		if len(ids) == 0 {
			continue
		}
		began := time.Now()
		effects, err := f.core.StartGang(f.now, g.reservationID(), ids, tokens)
		g.coreTime += time.Since(began)
		if err != nil {
			panic(err)
		}
		f.execute(effects)
	}
}

func (g *gangOwner) release() {
	for n, f := range g.racks {
		if len(g.reservedByRack[n]) > 0 {
			began := time.Now()
			effects := f.core.ReleaseGang(f.now, g.reservationID())
			g.coreTime += time.Since(began)
			f.execute(effects)
		}
	}
	g.events.after(randomDuration(g.rng, 50*time.Millisecond, 150*time.Millisecond), g.attempt)
}

// gangJobs returns n gangs that request their start at the same time, each as a list of jobs of one task.
func gangJobs(n int, rng *rand.Rand) [][]*job {
	gangs := make([][]*job, n)
	for i := range gangs {
		load := &workload{rng: rng}
		for range gangSize {
			load.add(fmt.Sprintf("gang%d", i), fmt.Sprintf("team%d", i%4), model.ClassBatch, model.KindGang, resources(6000, 16<<10), gangRunTime)
		}
		gangs[i] = load.jobs
	}
	return gangs
}

// BenchmarkGangStart reports the time until gangs of 64 tasks start on 8 racks of 8 workers, for one gang alone and for
// 4, 12 and 24 at once. The racks have capacity for 8 gangs. Target: constant cost per gang, no livelock.
func BenchmarkGangStart(b *testing.B) {
	for _, n := range []int{1, 4, 12, 24} {
		b.Run(fmt.Sprintf("gangs=%d", n), func(b *testing.B) {
			for range b.N {
				rng := newRand()
				events := &eventLoop{now: startTime}
				var racks []*fleet
				for i := range 8 {
					racks = append(racks, newFleet(events, fmt.Sprintf("r%d", i), rack.DefaultPolicy(), newMembers(8, creaseUnionCapacity)))
				}
				var gangs []*gangOwner
				for i, jobs := range gangJobs(n, rng) {
					g := &gangOwner{id: fmt.Sprintf("g%d", i), racks: racks, events: events, rng: rng, requestedAt: startTime, jobs: jobs}
					gangs = append(gangs, g)
					events.after(randomDuration(rng, 0, 5*time.Millisecond), g.attempt)
				}
				events.runUntil(startTime.Add(3 * time.Minute))
				reportGangs(b, gangs)
				b.ReportMetric(fifoLastStartMS(n), "fifo-last-ms")
			}
		})
	}
}

func reportGangs(b *testing.B, gangs []*gangOwner) {
	var startDelays []time.Duration
	attempts, partial, waiting := 0, 0, 0
	var cost time.Duration
	for _, g := range gangs {
		attempts += g.attempts
		cost += g.coreTime
		started := 0
		for _, j := range g.jobs {
			if !j.startedAt.IsZero() {
				started++
			}
		}
		if started != 0 && started != gangSize {
			partial++
		}
		if g.startedAt.IsZero() {
			waiting++
			continue
		}
		startDelays = append(startDelays, g.startedAt.Sub(g.requestedAt))
	}
	slices.Sort(startDelays)
	b.ReportMetric(milliseconds(quantile(startDelays, 0.5)), "p50-ms")
	b.ReportMetric(milliseconds(quantile(startDelays, 1)), "last-ms")
	b.ReportMetric(float64(attempts)/float64(len(gangs)), "attempts/gang")
	b.ReportMetric(float64(partial), "partial")
	b.ReportMetric(float64(waiting), "waiting")
	b.ReportMetric(float64(cost.Microseconds())/float64(attempts), "cpu-us/attempt")
}

// fifoLastStartMS returns after how many milliseconds the last gang starts if one queue with full knowledge of all racks
// starts the gangs in order.
func fifoLastStartMS(n int) float64 {
	e := &eventLoop{now: startTime}
	var workers []store.Member
	for range 8 {
		workers = append(workers, newMembers(8, creaseUnionCapacity)...)
	}
	f := newFIFO(e, workers)
	gangs := gangJobs(n, newRand())
	for _, jobs := range gangs {
		for _, j := range jobs {
			f.offer(j)
		}
	}
	e.runUntil(startTime.Add(3 * time.Minute))
	var last time.Duration
	for _, jobs := range gangs {
		for _, j := range jobs {
			last = max(last, j.startedAt.Sub(startTime))
		}
	}
	return milliseconds(last)
}
