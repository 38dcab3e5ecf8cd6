package cell

import "slices"

// placeGang starts all members of a gang at once, or none.
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

// gangPlacement returns a worker for each member, on one rack if the step asks for it and a rack has room, or nil.
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

// sameRackTimeout is how long a gang waits for room on one rack before it is spread.
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

// fitGang finds a place for each waiting member by reserving them one after the other, and releases the reservations.
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

// restartGang stops the other members after one has gone. When none is left, all wait to start again under a higher number.
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
