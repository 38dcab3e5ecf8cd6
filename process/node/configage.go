package node

import (
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

const (
	// defaultConfigDeadline is the default of Options.ConfigDeadline.
	defaultConfigDeadline = 3 * time.Second
	// maxConfigDetectionDelay is how long after its acknowledgement an instance may learn of a newer configuration; at most a
	// quarter of the deadline is reserved for it.
	maxConfigDetectionDelay = 500 * time.Millisecond
	// maxConfigAge is the time since the last confirmation of the configuration after which the instance is not ready for
	// new connections.
	maxConfigAge = 6 * time.Second
)

// configAge tracks whether the configuration in force may be used. Callers hold the mutex of the node.
type configAge struct {
	// confirmedAt is when the configuration was last confirmed to be the newest.
	confirmedAt cell.Instant
	// verifiedAt is when the read began that last showed the configuration in force to be the newest: a key that it holds was in
	// force then.
	verifiedAt cell.Instant
	// newerSince is when the instance first learned that there may be a newer configuration which it does not have, 0 if it
	// knows of none.
	newerSince cell.Instant
}

// confirm records that the configuration in force was the newest at an instant.
func (a *configAge) confirm(at cell.Instant) {
	a.confirmedAt = max(a.confirmedAt, at)
	if at >= a.newerSince {
		a.newerSince = 0
	}
}

// verify records that a read that began at an instant showed the configuration in force to be the newest.
func (a *configAge) verify(startedAt cell.Instant) { a.verifiedAt = max(a.verifiedAt, startedAt) }

// verifyThrough records that another instance with the same configuration has verified it, in its answer to a request that was
// sent at an instant. ago is what verifiedMSAgo returned there.
func (a *configAge) verifyThrough(ago int64, sentAt cell.Instant) {
	if ago > 0 {
		a.verify(sentAt - time.Duration(ago)*time.Millisecond)
	}
}

// verifiedMSAgo returns the time since verifiedAt in milliseconds, rounded up; it is at least 1.
func (a *configAge) verifiedMSAgo(now cell.Instant) int64 {
	return (now - a.verifiedAt).Milliseconds() + 1
}

// noticeNewer records that there may be a newer configuration.
func (a *configAge) noticeNewer(now cell.Instant) {
	if a.newerSince == 0 {
		a.newerSince = now
	}
}

// outdated reports whether a newer configuration may have to be in force, which the instance does not have.
func (a *configAge) outdated(now cell.Instant, deadline time.Duration) bool {
	return a.newerSince != 0 && now-a.newerSince >= deadline-min(maxConfigDetectionDelay, deadline/4)
}

// unconfirmed reports whether a newer configuration may have to be in force, although the instance knows of none.
func (a *configAge) unconfirmed(now cell.Instant, deadline time.Duration) bool {
	return now-a.confirmedAt >= deadline
}

// errOutdated returns the error for a request that depends on the newest configuration, while this instance cannot get it.
func errOutdated() error { return unavailable(nil, "the newest configuration is not known yet") }

// checkConfig returns an error if the configuration in force is known to be outdated.
func (n *Node) checkConfig() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.configAge.outdated(n.opts.Now(), n.opts.ConfigDeadline) {
		return errOutdated()
	}
	return nil
}

// unknownQueue returns the error for a request whose queue is not configured: a refusal if it may have been added. Callers hold
// n.mu.
func (n *Node) unknownQueue() error {
	now := n.opts.Now()
	if n.configAge.outdated(now, n.opts.ConfigDeadline) || n.configAge.unconfirmed(now, n.opts.ConfigDeadline) {
		return errOutdated()
	}
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "there is no such queue")
}

// noticeNewerConfig records that there may be a newer configuration than the one in force.
func (n *Node) noticeNewerConfig() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configAge.noticeNewer(n.opts.Now())
}

// Ready reports whether the instance accepts new connections.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.opts.Now()
	return !n.leaving.Load() && n.config.Version != 0 &&
		now-n.configAge.confirmedAt < maxConfigAge && !n.configAge.outdated(now, n.opts.ConfigDeadline) && !n.keysUnverified()
}
