package cell

func (c *Core) reviewSuspect(w *worker) { w.health.suspicion.begin(c.now) }
