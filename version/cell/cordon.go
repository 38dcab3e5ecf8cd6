package cell

// updateCordons determines the workers that are not used because of the maintenance of their machines.
func (c *Core) updateCordons() {
	for _, w := range c.workers {
		w.cordoned = w.retired
	}
	for _, wave := range c.waves {
		for _, m := range wave.machines {
			c.cordonMachine(m)
		}
	}
}

// cordonMachine cordons the workers of a machine that is drained or down: the one that it had, and the one that the list shows.
func (c *Core) cordonMachine(m *maintenance) {
	if !m.phase.isInProgress() {
		return
	}
	for _, w := range []*worker{c.workers[m.worker], c.workerOf(m)} {
		if w != nil {
			w.cordoned = true
		}
	}
}

// retireWorker records that the maintenance of a machine has ended the process of its worker.
func (c *Core) retireWorker(m *maintenance) {
	if w := c.workers[m.worker]; w != nil {
		w.retired, w.cordoned = true, true
	}
}

// returnToService records that the worker which the list shows on a machine is in use again. It may have started again under its former
// ID, or has gone on because the maintenance had been done before. The next sweep ends its cordon.
func (c *Core) returnToService(m *maintenance) {
	if w := c.workerOf(m); w != nil {
		w.retired = false
	}
}
