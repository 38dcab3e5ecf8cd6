package check

import "time"

// Time bounds of the rules, as the platform's pages state them for both deployments.
const (
	// contactTime is how long a machine and the store must have been undisturbed to count as in touch (contactMs).
	contactTime = 3000 * time.Millisecond
	// noticeTime is after which a listed completion counts as acknowledged while nothing is disturbed.
	noticeTime = 100 * time.Millisecond
	// knownTime is after which an acknowledged completion and a state that was shown bind the instances in touch.
	knownTime = time.Second
	// earlyTime is how long before its time an occurrence may start (early_ms), and clockTime what is added once clocks have jumped.
	earlyTime = 250 * time.Millisecond
	clockTime = 5 * time.Second
	// cancelTime is how long tasks of a cancelled job may start (cancel_ms), and stopTime how long a stop takes (stopTimeoutMs).
	cancelTime = 3000 * time.Millisecond
	stopTime   = 400 * time.Millisecond
	// visibleTime is after which an accepted job is known to all instances (visible_ms).
	visibleTime = 3000 * time.Millisecond
	// waitingAge is how old the number of waiting jobs may be.
	waitingAge = 2 * time.Second
	// retentionTime is how long final states are shown (status_s).
	retentionTime = 120 * time.Second
	// finishTime is how long after the end of the traffic jobs are asked for (finish_s), and idleTime how long a job that could
	// run may have nothing running then.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// shrinkTime is how long the former capacity of a worker that has shrunk counts: contactMs and one heartbeat.
	shrinkTime = contactTime + 1500*time.Millisecond
	// serviceTime is after which a service task runs again, and calmTime how long before the time for which it may not run nothing is
	// disturbed.
	serviceTime = 6 * time.Second
	calmTime    = 4 * time.Second
	// acknowledgeTime is how long an acknowledgement takes in steady state (acknowledgeMs). A share of cancellations and of
	// completions may lack theirs.
	acknowledgeTime      = 4000 * time.Millisecond
	missingCancellations = 0.1
	missingCompletions   = 0.2
	fewestMissing        = 3
	// drainTime is after which nothing starts on a worker that drains (drainMs).
	drainTime = 2000 * time.Millisecond
	// configurationTime is after which a confirmed configuration is in force (configurationMs).
	configurationTime = 2000 * time.Millisecond
	// rollbackTime is after which an instance does not return to an older configuration (rollbackSlackMs); slowedFactor applies to
	// slowed instances.
	rollbackTime = 250 * time.Millisecond
	slowedFactor = 8
)
