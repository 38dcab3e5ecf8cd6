package rack

// SetPolicy replaces the policy. The terms of leases and the bounds of memory stay as they were at the start of the
// epoch, since granted leases and the proof of their end depend on them.
func (c *Core) SetPolicy(p Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.policy
	p.LeaseTerm, p.DriftFraction, p.DriftFloor, p.OrphanLimit = old.LeaseTerm, old.DriftFraction, old.DriftFloor, old.OrphanLimit
	p.Jobs, p.StartedGangRetention = old.Jobs, old.StartedGangRetention
	c.policy = p
	for _, q := range c.queues {
		for _, t := range q.teams {
			if w := p.teamWeight(t.key.team); w != t.weight {
				t.weight = w
				t.weightedShare = t.used.DominantShare(c.totalCapacity) / w
				q.active.fix(t)
			}
		}
	}
}
