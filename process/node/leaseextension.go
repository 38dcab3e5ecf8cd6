package node

import (
	"encoding/json"
	"time"

	"github.com/lentiltide/lentiltide/version/cell"
)

// A leader that is cut off goes on to extend leases for up to suspendAfter, whoever leads meanwhile. A new leader accounts for its
// predecessor and for the leaders before that: the predecessor may have led for a moment only, or not at all if its takeover took effect
// after it had been given up. So each leader row says how long earlier leaders may extend leases, and the renewals what is left of that.

// renewalRow is the value of the renewal row.
type renewalRow struct {
	// Claim is that of the leader row which is renewed.
	Claim string `json:"claim"`
	// LeaseExtensionMS is as in leaderRow.
	LeaseExtensionMS int64 `json:"lease_extension_ms,omitempty"`
}

// decodeRenewal decodes the value of the renewal row. That of an earlier program has no claim.
func decodeRenewal(value []byte) renewalRow {
	var row renewalRow
	if json.Unmarshal(value, &row) != nil {
		return renewalRow{}
	}
	return row
}

// leaseExtensions are the times after a takeover for which former leaders may extend leases.
type leaseExtensions struct {
	// predecessor is that of the last leader, and earlier that of all leaders before it.
	predecessor, earlier time.Duration
}

func (e leaseExtensions) all() time.Duration { return max(e.predecessor, e.earlier) }

// leaseExtensions returns the times for a takeover by an instance. A leader that has resigned sends no commands any longer, and neither does
// a former process of the instance itself.
func (v leaderView) leaseExtensions(instance string) leaseExtensions {
	out := leaseExtensions{earlier: time.Duration(v.row.LeaseExtensionMS) * time.Millisecond}
	if !v.row.Resigned && v.renewal.Claim == v.row.Claim {
		out.earlier = time.Duration(v.renewal.LeaseExtensionMS) * time.Millisecond
	}
	if v.row.Epoch != 0 && !v.row.Resigned && v.row.Instance != instance {
		out.predecessor = suspendAfter
	}
	return out
}

// extensionEnds are the times until which former leaders may extend leases.
type extensionEnds struct{ predecessor, earlier cell.Instant }

// after returns the times for a takeover at an instant.
func (e leaseExtensions) after(takeover cell.Instant) extensionEnds {
	return extensionEnds{takeover + e.predecessor, takeover + e.earlier}
}

func (e extensionEnds) all() cell.Instant { return max(e.predecessor, e.earlier) }

// leaseExtension returns how long former leaders may still extend leases.
func (l *leadership) leaseExtension() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.extensions.all()-l.node.opts.Now())
}

// endPredecessor records that the predecessor sends no commands any longer.
func (l *leadership) endPredecessor() {
	l.mu.Lock()
	l.extensions.predecessor = min(l.extensions.predecessor, l.node.opts.Now())
	end := l.extensions.all()
	l.mu.Unlock()
	l.core.LimitLeaseExtension(end, l.node.opts.Now())
}

// encodeRenewal returns the value of the renewal row.
func (l *leadership) encodeRenewal() ([]byte, error) {
	return json.Marshal(renewalRow{Claim: l.row.Claim, LeaseExtensionMS: l.leaseExtension().Milliseconds()})
}
