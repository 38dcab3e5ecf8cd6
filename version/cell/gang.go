package cell

import "slices"

// placeGang starts all members of a gang at once, or none.
func (c *Core) placeGang(s *step) {
	if len(s.waiting) < len(s.tasks) {
		return
	}
	places := c.gangPlaces(s)
	if places == nil {
		return
	}
	number := s.gangRun + 1
	tasks := slices.Clone(s.waiting)
	for i, t := range tasks {
		c.startTask(t, places[i], number, s.gangSaved)
	}
	c.unqueue(s)
}

// gangPlaces returns a worker for each member, on one rack if the step asks for it and a rack has room, or nil.
func (c *Core) gangPlaces(s *step) []*worker {
	if s.spec.SameRack {
		for _, rack := range c.racks() {
			if places := c.fitAll(s, func(w *worker) bool { return w.rack == rack }); places != nil {
				return places
			}
		}
		if c.now < s.became+sameRackTimeout {
			return nil
		}
	}
	return c.fitAll(s, anywhere)
}

// sameRackTimeout is how long a gang waits for room on one rack before it is spread.
const sameRackTimeout = bestEffortTimeout

func (c *Core) racks() []string {
	seen := map[string]struct{}{}
	var out []string
	for _, w := range c.workers {
		if _, ok := seen[w.rack]; !ok {
			seen[w.rack] = struct{}{}
			out = append(out, w.rack)
		}
	}
	slices.Sort(out)
	return out
}

// fitAll finds a place for each waiting member by reserving them one after the other, and releases the reservations.
func (c *Core) fitAll(s *step, allowed func(*worker) bool) []*worker {
	var places []*worker
	defer func() {
		for _, w := range places {
			w.reserve(s, -1)
		}
	}()
	for _, t := range s.waiting {
		w := c.best(s, t, allowed)
		if w == nil {
			return nil
		}
		w.reserve(s, 1)
		places = append(places, w)
	}
	return slices.Clone(places)
}

// gangBroken stops the other members after one has gone. When none is left, all wait to start again under a higher number.
func (c *Core) gangBroken(s *step) {
	left := false
	for _, t := range s.tasks {
		for _, r := range t.runs {
			left = true
			c.stopRun(r, "another member of the gang ended")
		}
	}
	if left {
		return
	}
	for _, t := range s.tasks {
		c.queueTask(t)
	}
}
