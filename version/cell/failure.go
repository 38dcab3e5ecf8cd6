package cell

import "sync"

// coreMutex is the mutex of a Core. It records whether a call that held it has panicked.
type coreMutex struct {
	sync.Mutex
	// panicked is protected by the mutex itself.
	panicked bool
}

// Unlock unlocks the mutex. It must be deferred directly, so that it notices a panic, which it passes on.
func (m *coreMutex) Unlock() {
	value := recover()
	if value != nil {
		m.panicked = true
	}
	m.Mutex.Unlock()
	if value != nil {
		panic(value)
	}
}

// Failed reports whether a call of the Core has panicked, so that its state may be inconsistent. A failed Core returns no
// commands, no progress and no state of a job any more; the epoch should end.
func (c *Core) Failed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.panicked
}

// halted reports whether the Core must not send commands to workers. Callers hold c.mu.
func (c *Core) halted() bool {
	until := c.placements.gate.Until
	late := c.commandsUntil != 0 && c.now >= c.commandsUntil || until != 0 && c.now >= until
	return late || c.commandsEnded || c.superseded || c.mu.panicked
}
