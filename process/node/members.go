package node

import "time"

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
