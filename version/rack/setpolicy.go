package rack

// SetPolicy replaces the policy. The settings of leases and the retention bounds (Jobs and StartedGangRetention) keep
// their values from the start of the epoch: granted leases, and the proof that they have expired, depend on the former.
func (c *Core) SetPolicy(p Policy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.policy
	p.LeaseDuration, p.DriftFraction, p.DriftFloor, p.OrphanLimit = old.LeaseDuration, old.DriftFraction, old.DriftFloor, old.OrphanLimit
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
