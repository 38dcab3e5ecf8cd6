package node

import (
	"encoding/json"
	"time"

	"github.com/lentiltide/lentiltide/version/cell"
)

// A leader that is cut off goes on to extend leases for up to suspendAfter, whoever leads meanwhile. A new leader accounts for its
// predecessor and for the leaders before that: the predecessor may have led for a moment only, or not at all if its takeover took effect
// after it had been given up. So each leader row names the instances that led before and says how long each may extend leases, and the
// renewals and the resignation say what is left of that.

// leaseExtensionFields are the fields of the leader row and its renewals about the leaders before the one that writes them.
type leaseExtensionFields struct {
	// LeaseExtensionMS is how long after the row was written any of them may extend leases, in milliseconds. Former programs know this
	// field only.
	LeaseExtensionMS int64 `json:"lease_extension_ms,omitempty"`
	// FormerLeaders is that time of each of them by the name of the instance, negative if its commands have ended before; nil in a row of
	// a former program.
	FormerLeaders map[string]int64 `json:"former_leaders"`
}

// renewalRow is the value of the renewal row.
type renewalRow struct {
	// Claim is that of the leader row which is renewed.
	Claim string `json:"claim"`
	leaseExtensionFields
	closedWorkersField
	placementCoverField
}

// decodeRenewal decodes the value of the renewal row. That of an earlier program has no claim.
func decodeRenewal(value []byte) renewalRow {
	var row renewalRow
	if json.Unmarshal(value, &row) != nil {
		return renewalRow{}
	}
	return row
}

// unnamedLeader is the name of the leaders in a row of a former program, which does not name them.
const unnamedLeader = ""

// formerLeaderRetention is how long a former leader stays in the list after its commands have ended.
const formerLeaderRetention = time.Minute

// formerLeaders are the instances that led before, with the times until which they may extend leases. The commands of those that are not
// listed ended at least formerLeaderRetention ago.
type formerLeaders map[string]cell.Instant

// formerLeaders returns the leaders of which the row tells, if it was written at an instant or before.
func (f leaseExtensionFields) formerLeaders(written cell.Instant) formerLeaders {
	if f.FormerLeaders == nil {
		return formerLeaders{unnamedLeader: written + max(0, time.Duration(f.LeaseExtensionMS)*time.Millisecond)}
	}
	out := formerLeaders{}
	for name, ms := range f.FormerLeaders {
		out[name] = written + time.Duration(ms)*time.Millisecond
	}
	return out
}

// end returns the time until which any of the leaders may extend leases, which may have passed.
func (f formerLeaders) end(now cell.Instant) cell.Instant {
	end := now - formerLeaderRetention
	for _, until := range f {
		end = max(end, until)
	}
	return end
}

// fields returns the fields of a row that is encoded at an instant.
func (f formerLeaders) fields(now cell.Instant) leaseExtensionFields {
	out := leaseExtensionFields{LeaseExtensionMS: max(0, f.end(now)-now).Milliseconds(), FormerLeaders: map[string]int64{}}
	for name, until := range f {
		if until > now-formerLeaderRetention {
			out.FormerLeaders[name] = ceilMilliseconds(until - now)
		}
	}
	return out
}

// ceilMilliseconds returns the smallest number of whole milliseconds that is not below d.
func ceilMilliseconds(d time.Duration) int64 {
	ms := d.Milliseconds()
	if time.Duration(ms)*time.Millisecond < d {
		ms++
	}
	return ms
}

// formerLeaders returns the leaders before a takeover by an instance, whose own commands ended at an instant. The commands of a leader that
// has resigned ended before its row was written.
func (v leaderView) formerLeaders(instance string, ownEnd, takeover cell.Instant) formerLeaders {
	fields, seenAt := v.row.leaseExtensionFields, v.rowSeenAt
	if v.isRenewed() {
		fields, seenAt = v.renewal.leaseExtensionFields, v.renewalSeenAt
	}
	out := fields.formerLeaders(seenAt)
	if v.row.Epoch != 0 && !v.row.Resigned {
		out[v.row.Instance] = takeover + suspendAfter
	}
	if until, ok := out[instance]; ok {
		out[instance] = min(until, ownEnd)
	}
	return out
}

// with returns a copy of the list with another leader.
func (f formerLeaders) with(name string, until cell.Instant) formerLeaders {
	out := formerLeaders{name: until}
	for other, end := range f {
		if other != name {
			out[other] = end
		}
	}
	return out
}

// leaseExtension returns how long after an instant former leaders may still extend leases. It is negative if their commands have ended.
func (l *leadership) leaseExtension(now cell.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.former.end(now) - now
}

// endFormerLeader records that the commands of an instance that led before have ended at an instant.
func (l *leadership) endFormerLeader(name string, ended cell.Instant) {
	now := l.node.opts.Now()
	l.mu.Lock()
	until, ok := l.former[name]
	sooner := ok && ended < until
	if sooner {
		l.former[name] = ended
	}
	end := l.former.end(now)
	l.mu.Unlock()
	if sooner {
		l.core.LimitLeaseExtension(end, now)
	}
}

// endOwnCommands ends the commands of the leadership and lists it among the former leaders of the resignation.
func (l *leadership) endOwnCommands() {
	l.core.EndCommands()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.former = l.former.with(l.node.opts.Instance, l.node.opts.Now())
}

// leaseExtensionFields returns the fields of a row that is written now.
func (l *leadership) leaseExtensionFields() leaseExtensionFields {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.former.fields(l.node.opts.Now())
}

// encodeRenewal returns the value of the renewal row.
func (l *leadership) encodeRenewal() ([]byte, error) {
	return json.Marshal(renewalRow{Claim: l.row.Claim, leaseExtensionFields: l.leaseExtensionFields(), closedWorkersField: l.closeWorkers(),
		placementCoverField: l.cover.field()})
}
