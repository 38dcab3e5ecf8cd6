package node

import (
	"time"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// Keys are checked when a call arrives. A withdrawn key must not be accepted for longer than Options.KeyDeadline, whatever has
// happened to this instance: so a key counts only if the configuration was verified to be the newest since then, by a read of the
// table service that began after that. A check that has passed stays valid while the call waits, since it is about the time at
// which the call was sent.

const (
	// keyMargin is the part of the key deadline that is reserved for the call to arrive; at most a fifth is.
	keyMargin = 500 * time.Millisecond
	// maxKeyBytes is the length from which a key is malformed.
	maxKeyBytes = 256
)

// The reasons for which a call is not authorized, as reported to OnRefusedKey.
const (
	reasonNoKey        = "no_key"
	reasonMalformedKey = "malformed_key"
	reasonUnknownKey   = "unknown_key"
	reasonUnverified   = "unverified"
)

// Authorize returns the team of a call to a queue with a key; it is empty if the queue is public or the configuration has no teams.
// The error has CodeUnauthorized if the key is not in force, and CodeUnavailable if that is not known.
func (n *Node) Authorize(q job.Queue, key string) (team string, err error) {
	team, reason := n.teamOf(q, key)
	if reason == "" {
		return team, nil
	}
	n.opts.Log.WithFields(map[string]any{"event": "call_unauthorized", "queue": q.Name, "reason": reason}).Info("call not authorized")
	if n.opts.OnRefusedKey != nil {
		n.opts.OnRefusedKey(reason)
	}
	switch reason {
	case reasonNoKey:
		return "", verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the call carries no key")
	case reasonMalformedKey:
		return "", verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key is malformed: expected 1 to %d bytes", maxKeyBytes)
	case reasonUnverified:
		return "", unavailable(nil, "it is not known whether the key is in force")
	default:
		return "", verdict.New(verdict.NotRun, verdict.CodeUnauthorized, "the key is not known")
	}
}

// teamOf returns the team of a call, or the reason for which it is not authorized.
func (n *Node) teamOf(q job.Queue, key string) (team, reason string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if q.Public || !n.requiresKeys() {
		return "", ""
	}
	now := n.opts.Now()
	team, known := n.config.TeamOf(key)
	outdated := n.configAge.outdated(now, n.opts.ConfigDeadline)
	switch {
	case key == "":
		return "", reasonNoKey
	case len(key) > maxKeyBytes:
		return "", reasonMalformedKey
	case known && !outdated && !n.keysUnverified():
		return team, ""
	case !known && !outdated && !n.configAge.unconfirmed(now, n.opts.ConfigDeadline):
		return "", reasonUnknownKey
	default:
		return "", reasonUnverified
	}
}

// requiresKeys reports whether calls to queues that are not public need a key. Callers hold n.mu.
func (n *Node) requiresKeys() bool { return n.opts.KeyDeadline > 0 || len(n.config.Teams) > 0 }

// keysUnverified reports whether a key may have been withdrawn for as long as KeyDeadline. Callers hold n.mu.
func (n *Node) keysUnverified() bool {
	deadline := n.opts.KeyDeadline
	return deadline > 0 && n.opts.Now()-n.configAge.verifiedAt >= deadline-min(keyMargin, deadline/5)
}
