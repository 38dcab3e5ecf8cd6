package node

import (
	"time"

	"github.com/lentiltide/lentiltide/connection/peer/peerpb"
	"github.com/lentiltide/lentiltide/version/cell"
)

// member is an instance that has joined the leader and can request placement advice for it.
type member struct {
	address string
	// joinedAt is the time of the last join.
	joinedAt cell.Instant
	// cpuShare is the number of CPU cores of the instance; see Options.CPUShare.
	cpuShare float64
	zone     string
	// linkMbps is the bandwidth of its link; see Options.LinkMbps.
	linkMbps float64
	// replica is the sequence number up to which the instance holds the completed jobs, nil if it is not a candidate.
	replica *uint64
}

// memberTTL is how long an instance counts as a member after its last join.
const memberTTL = 1600 * time.Millisecond

// handleJoin records a join of an instance and returns the answer to it.
func (l *leadership) handleJoin(join *peerpb.Join) *peerpb.JoinReply {
	l.mu.Lock()
	former := l.members[join.GetInstance()]
	m := former
	m.address, m.joinedAt, m.zone = join.GetAddress(), l.node.opts.Now(), join.GetZone()
	m.cpuShare, m.linkMbps = join.GetCpuShare(), join.GetLinkMbps()
	l.members[join.GetInstance()] = m
	if m.joinedAt-former.joinedAt > memberTTL || m.address != former.address || m.cpuShare != former.cpuShare {
		l.membersChanged.Store(true)
	}
	l.mu.Unlock()
	if join.GetFollowsEpoch() >= l.epoch {
		l.endFormerLeader(join.GetInstance(), m.joinedAt-max(0, time.Duration(join.GetCommandsEndedMsAgo())*time.Millisecond))
	}
	reply := &peerpb.JoinReply{Epoch: l.epoch, Waiting: l.waitingJobs(), Members: l.sampleAddresses(), Candidate: l.isCandidate(join.GetInstance())}
	reply.ConfigSources = l.configSources(join)
	l.node.mu.Lock()
	reply.Config = l.node.configState()
	l.node.mu.Unlock()
	l.replicate(join, reply)
	return reply
}

// waitingCountTTL is how long the counts of waiting jobs are reused: counting looks at every job.
const waitingCountTTL = 200 * time.Millisecond

// waitingJobs returns the number of waiting jobs of each queue, which is at most waitingCountTTL old.
func (l *leadership) waitingJobs() map[string]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.node.opts.Now()
	if l.waitingCounts != nil && now < l.waitingCountedAt+waitingCountTTL {
		return l.waitingCounts
	}
	l.waitingCountedAt, l.waitingCounts = now, map[string]uint32{}
	for name, count := range l.core.WaitingJobs() {
		l.waitingCounts[name] = uint32(count)
	}
	return l.waitingCounts
}

// maxSampleAddresses limits the members that a join returns. An instance needs a few of them, to reach the store or a new
// leader through them; all members of a large cell would fill the link of the leader.
const maxSampleAddresses = 24

// sampleAddresses returns the addresses of at most maxSampleAddresses members. The iteration order of the map makes it a
// different sample each time.
func (l *leadership) sampleAddresses() []string {
	addresses := l.memberAddresses(memberTTL)
	return addresses[:min(len(addresses), maxSampleAddresses)]
}

// advisers returns the names of the instances that can request placement advice: this one and the members.
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

// maxCandidates limits the instances that check the leadership frequently.
const maxCandidates = 6

// isCandidate reports whether a member is among the maxCandidates largest ones. Equal sizes are ordered by name.
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

// detectIsolation reports, once, that this leader has lost more than half of its other members. An instance that the others
// can reach is the better leader, since it can distribute the requests for advice and answer queries about jobs.
func (l *leadership) detectIsolation(others int) bool {
	l.maxOtherMembers = max(l.maxOtherMembers, others)
	if 2*others >= l.maxOtherMembers || l.resigning.Load() {
		return false
	}
	l.node.opts.Log.WithFields(map[string]any{
		"event": "leader_isolated", "epoch": l.epoch, "members": others, "most_members": l.maxOtherMembers,
	}).Warn("leader has lost more than half of its members")
	l.maxOtherMembers = others
	return true
}

// detectLargerMember reports, once, that this leader is a small instance and an instance at least twice as large has joined.
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
			}).Info("small leader resigns, since a larger instance has joined")
			return true
		}
	}
	return false
}

// formerMemberRetention is the age of the last join up to which members of an ended leadership are kept as peers to contact.
const formerMemberRetention = time.Minute

// memberAddresses returns the addresses of the instances whose last join is no older than within.
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
