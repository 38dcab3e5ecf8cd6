package cell

// Each command that the caller of Step executes takes memory until its result arrives. A wide job whose tasks all start, or are all stopped,
// at the same time would take as much as its tasks do, and starts that wait to be sent could not be replaced by more urgent ones. So further
// commands are issued as results arrive.

const (
	// maxStartsInFlight and maxStopsInFlight limit the commands without a result. A gang starts as a whole.
	maxStartsInFlight = 1000
	maxStopsInFlight  = 1000
)

// commandsInFlight counts the commands whose results have not arrived.
type commandsInFlight struct{ starts, stops int }

// issueStart hands a start to the caller of Step.
func (c *Core) issueStart(a *StartAction) {
	c.inFlight.starts++
	c.actions = append(c.actions, a)
}

// issueStop hands a stop to the caller of Step, unless too many are in flight.
func (c *Core) issueStop(a *StopAction) (issued bool) {
	if c.inFlight.stops >= maxStopsInFlight {
		return false
	}
	c.inFlight.stops++
	c.actions = append(c.actions, a)
	return true
}

// mayIssueStarts reports whether further starts may be decided. It is false until results arrive, which wake the caller of Step.
func (c *Core) mayIssueStarts() bool { return c.inFlight.starts+len(c.heldStarts) < maxStartsInFlight }
