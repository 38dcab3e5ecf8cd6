package cell

import "slices"

// placeGang starts all members of a gang at once or none of them.
func (c *Core) placeGang(s *step) {
	if len(s.waiting) < len(s.tasks) {
		return
	}
	workers := c.gangPlacement(s)
	if workers == nil {
		return
	}
	number := s.gangRunNumber + 1
	tasks := slices.Clone(s.waiting)
	for i, t := range tasks {
		c.startTask(t, workers[i], number, s.gangCheckpoint)
	}
	c.pruneWaiting(s)
}

// gangPlacement returns a worker for each member, or nil. If the step asks for a single rack, racks with enough
// capacity are tried first.
func (c *Core) gangPlacement(s *step) []*worker {
	if s.spec.SameRack {
		for _, rack := range c.racks() {
			if workers := c.fitGang(s, func(w *worker) bool { return w.rack == rack }); workers != nil {
				return workers
			}
		}
		if c.now < s.readyAt+sameRackTimeout {
			return nil
		}
	}
	return c.fitGang(s, anyWorker)
}

// sameRackTimeout is how long a gang waits for capacity on one rack before it may be spread over several.
const sameRackTimeout = bestEffortTimeout

func (c *Core) racks() []string {
	seen := map[string]struct{}{}
	var racks []string
	for _, w := range c.workers {
		if _, ok := seen[w.rack]; !ok {
			seen[w.rack] = struct{}{}
			racks = append(racks, w.rack)
		}
	}
	slices.Sort(racks)
	return racks
}

// fitGang selects a worker for each waiting member. It adds the demand of each selected member to the ledger to account
// for it in the next selection, and removes all of it before it returns.
func (c *Core) fitGang(s *step, allowed func(*worker) bool) []*worker {
	var workers []*worker
	defer func() {
		for _, w := range workers {
			w.addDemand(s, -1)
		}
	}()
	for _, t := range s.waiting {
		w := c.selectWorker(s, t, allowed)
		if w == nil {
			return nil
		}
		w.addDemand(s, 1)
		workers = append(workers, w)
	}
	return slices.Clone(workers)
}

// restartGang stops the remaining members after one has ended. When no run is left, all members wait to start again
// under a higher run number.
func (c *Core) restartGang(s *step) {
	running := false
	for _, t := range s.tasks {
		for _, r := range t.runs {
			running = true
			c.stopRun(r, "another member of the gang ended")
		}
	}
	if running {
		return
	}
	for _, t := range s.tasks {
		c.queueTask(t)
	}
}
