package node

import (
	"encoding/json"
	"maps"
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
	// FormerLeaders is that time of each of them by the name of the instance; nil in a row of a former program.
	FormerLeaders map[string]int64 `json:"former_leaders"`
}

// renewalRow is the value of the renewal row.
type renewalRow struct {
	// Claim is that of the leader row which is renewed.
	Claim string `json:"claim"`
	leaseExtensionFields
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

// formerLeaders are the instances that led before, with the times until which they may extend leases.
type formerLeaders map[string]cell.Instant

// formerLeaders returns the leaders of which the row tells, if it was written at an instant.
func (f leaseExtensionFields) formerLeaders(written cell.Instant) formerLeaders {
	out := formerLeaders{}
	if f.FormerLeaders == nil && f.LeaseExtensionMS > 0 {
		out[unnamedLeader] = written + time.Duration(f.LeaseExtensionMS)*time.Millisecond
	}
	for name, ms := range f.FormerLeaders {
		out[name] = written + time.Duration(ms)*time.Millisecond
	}
	return out
}

// end returns the time until which any of the leaders may extend leases, which is not before now.
func (f formerLeaders) end(now cell.Instant) cell.Instant {
	end := now
	for _, until := range f {
		end = max(end, until)
	}
	return end
}

// fields returns the fields of a row that is encoded at an instant.
func (f formerLeaders) fields(now cell.Instant) leaseExtensionFields {
	out := leaseExtensionFields{LeaseExtensionMS: (f.end(now) - now).Milliseconds(), FormerLeaders: map[string]int64{}}
	for name, until := range f {
		if until > now {
			out.FormerLeaders[name] = (until - now).Milliseconds()
		}
	}
	return out
}

// formerLeaders returns the leaders before a takeover by an instance. A leader that has resigned sends no commands any longer, and neither
// does a former process of the instance itself.
func (v leaderView) formerLeaders(instance string, takeover cell.Instant) formerLeaders {
	fields := v.row.leaseExtensionFields
	if !v.row.Resigned && v.renewal.Claim == v.row.Claim {
		fields = v.renewal.leaseExtensionFields
	}
	out := fields.formerLeaders(takeover)
	if v.row.Epoch != 0 && !v.row.Resigned {
		out[v.row.Instance] = takeover + suspendAfter
	}
	delete(out, instance)
	return out
}

// after returns the leaders if the takeover takes effect later than assumed.
func (f formerLeaders) after(delay time.Duration) formerLeaders {
	out := maps.Clone(f)
	for name := range out {
		out[name] += delay
	}
	return out
}

// leaseExtension returns how long after an instant former leaders may still extend leases.
func (l *leadership) leaseExtension(now cell.Instant) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.former.end(now) - now
}

// endFormerLeader records that an instance that led before sends no commands any longer.
func (l *leadership) endFormerLeader(name string) {
	now := l.node.opts.Now()
	l.mu.Lock()
	until := l.former[name]
	if until > now {
		l.former[name] = now
	}
	end := l.former.end(now)
	l.mu.Unlock()
	if until <= now {
		return
	}
	l.core.LimitLeaseExtension(end, now)
}

// leaseExtensionFields returns the fields of a row that is written now.
func (l *leadership) leaseExtensionFields() leaseExtensionFields {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.former.fields(l.node.opts.Now())
}

// encodeRenewal returns the value of the renewal row.
func (l *leadership) encodeRenewal() ([]byte, error) {
	return json.Marshal(renewalRow{Claim: l.row.Claim, leaseExtensionFields: l.leaseExtensionFields()})
}
