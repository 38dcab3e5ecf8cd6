package node

import (
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/version/cell"
)

// member is an instance that can ask for placement advice.
type member struct {
	address string
	seen    cell.Instant
	// share is the share of a core of the instance.
	share float64
}

// memberTerm is how long an instance is used for advice after its last join.
const memberTerm = 1600 * time.Millisecond

// joined notes an instance that has joined.
func (t *term) joined(join *peerpb.Join) *peerpb.JoinReply {
	t.mu.Lock()
	t.members[join.GetInstance()] = member{address: join.GetAddress(), seen: t.node.opts.Now(), share: join.GetCpuShare()}
	t.mu.Unlock()
	waiting := map[string]uint32{}
	for name, count := range t.core.Waiting() {
		waiting[name] = uint32(count)
	}
	return &peerpb.JoinReply{Epoch: t.epoch, Waiting: waiting, Members: t.memberAddresses(memberTerm), Candidate: t.isCandidate(join.GetInstance())}
}

// advisers returns this instance and those that have joined lately.
func (t *term) advisers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := []string{t.node.opts.Instance}
	now := t.node.opts.Now()
	for name, m := range t.members {
		if now-m.seen <= memberTerm {
			names = append(names, name)
		}
	}
	return names
}

// maxCandidates bounds the instances that watch the leadership closely.
const maxCandidates = 6

// isCandidate reports whether a member is among the largest ones.
func (t *term) isCandidate(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	me := t.members[name]
	ahead := 0
	now := t.node.opts.Now()
	for other, m := range t.members {
		if now-m.seen <= memberTerm && (m.share > me.share || (m.share == me.share && other < name)) {
			ahead++
		}
	}
	return ahead < maxCandidates
}

// isolated reports, once, that this leader has lost more than half of the other instances. One that the others reach leads
// better: it spreads the questions for advice and answers for the jobs.
func (t *term) isolated(others int) bool {
	t.mostMembers = max(t.mostMembers, others)
	if 2*others >= t.mostMembers || t.resigning.Load() {
		return false
	}
	t.node.opts.Log.WithFields(map[string]any{
		"event": "leader_isolated", "epoch": t.epoch, "members": others, "most_members": t.mostMembers,
	}).Warn("most instances do not reach this leader")
	t.mostMembers = others
	return true
}

// hasLargerMember reports, once, that a small instance leads although a larger one has joined.
func (t *term) hasLargerMember() bool {
	share := t.node.opts.CPUShare
	if share >= smallShare || t.resigning.Load() || t.steppingDown {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.node.opts.Now()
	for name, m := range t.members {
		if now-m.seen <= memberTerm && m.share >= 2*share {
			t.steppingDown = true
			t.node.opts.Log.WithFields(map[string]any{
				"event": "larger_member_joined", "epoch": t.epoch, "share": share, "member": name, "member_share": m.share,
			}).Info("a larger instance can lead")
			return true
		}
	}
	return false
}

// keepMembers is how long the instances of an ended term are remembered as ones to ask.
const keepMembers = time.Minute

// memberAddresses returns the addresses of the instances that have joined within a time.
func (t *term) memberAddresses(within time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	now := t.node.opts.Now()
	for _, m := range t.members {
		if now-m.seen <= within {
			out = append(out, m.address)
		}
	}
	return out
}
