package rack

// SetQueueLimit replaces the bound on the queued offers of one class. Offers that are queued stay so.
func (c *Core) SetQueueLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.policy.QueueLimit = limit
}
