package node

import (
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/version/cell"
)

// member is an instance that can ask for placement advice.
type member struct {
	address  string
	joinedAt cell.Instant
	// cpuShare is the share of a core of the instance.
	cpuShare float64
}

// memberTTL is how long an instance is used for advice after its last join.
const memberTTL = 1600 * time.Millisecond

// handleJoin notes an instance that has joined.
func (l *leadership) handleJoin(join *peerpb.Join) *peerpb.JoinReply {
	l.mu.Lock()
	l.members[join.GetInstance()] = member{address: join.GetAddress(), joinedAt: l.node.opts.Now(), cpuShare: join.GetCpuShare()}
	l.mu.Unlock()
	waiting := map[string]uint32{}
	for name, count := range l.core.Waiting() {
		waiting[name] = uint32(count)
	}
	return &peerpb.JoinReply{Epoch: l.epoch, Waiting: waiting, Members: l.memberAddresses(memberTTL), Candidate: l.isCandidate(join.GetInstance())}
}

// advisers returns this instance and those that have joined lately.
func (l *leadership) advisers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	names := []string{l.node.opts.Instance}
	now := l.node.opts.Now()
	for name, m := range l.members {
		if now-m.joinedAt <= memberTTL {
			names = append(names, name)
		}
	}
	return names
}

// maxCandidates bounds the instances that watch the leadership closely.
const maxCandidates = 6

// isCandidate reports whether a member is among the largest ones.
func (l *leadership) isCandidate(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	self := l.members[name]
	ahead := 0
	now := l.node.opts.Now()
	for other, m := range l.members {
		if now-m.joinedAt <= memberTTL && (m.cpuShare > self.cpuShare || (m.cpuShare == self.cpuShare && other < name)) {
			ahead++
		}
	}
	return ahead < maxCandidates
}

// detectIsolation reports, once, that this leader has lost more than half of the other instances. One that the others reach leads
// better: it spreads the questions for advice and answers for the jobs.
func (l *leadership) detectIsolation(others int) bool {
	l.maxOtherMembers = max(l.maxOtherMembers, others)
	if 2*others >= l.maxOtherMembers || l.resigning.Load() {
		return false
	}
	l.node.opts.Log.WithFields(map[string]any{
		"event": "leader_isolated", "epoch": l.epoch, "members": others, "most_members": l.maxOtherMembers,
	}).Warn("most instances do not reach this leader")
	l.maxOtherMembers = others
	return true
}

// detectLargerMember reports, once, that a small instance leads although a larger one has joined.
func (l *leadership) detectLargerMember() bool {
	share := l.node.opts.CPUShare
	if share >= smallCPUShare || l.resigning.Load() || l.steppingDown {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.opts.Now()
	for name, m := range l.members {
		if now-m.joinedAt <= memberTTL && m.cpuShare >= 2*share {
			l.steppingDown = true
			l.node.opts.Log.WithFields(map[string]any{
				"event": "larger_member_joined", "epoch": l.epoch, "share": share, "member": name, "member_share": m.cpuShare,
			}).Info("a larger instance can lead")
			return true
		}
	}
	return false
}

// formerMemberRetention is how long the instances of an ended term are remembered as ones to ask.
const formerMemberRetention = time.Minute

// memberAddresses returns the addresses of the instances that have joined within a time.
func (l *leadership) memberAddresses(within time.Duration) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	now := l.node.opts.Now()
	for _, m := range l.members {
		if now-m.joinedAt <= within {
			out = append(out, m.address)
		}
	}
	return out
}
