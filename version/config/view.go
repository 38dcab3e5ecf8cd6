package config

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
)

const (
	// CurrentKey is the table row of the configuration in force.
	CurrentKey = "config/current"
	// PlanPrefix is the key prefix of the rows of unconfirmed plans.
	PlanPrefix = "config/plan/"
	// PollInterval is the time between reads of CurrentKey.
	PollInterval = time.Second
	// MaxReadAge is the age at which a read of CurrentKey no longer allows admission: a younger read shows that no later
	// version has been in force for longer than MaxReadAge. With PollInterval, this ensures that an old version is no longer
	// applied 4 s after a confirmation.
	MaxReadAge = 3 * time.Second
	// maxConfirmedPlans is the number of confirmed plans kept in the row, so that a repeated confirmation returns the version
	// of the first one.
	maxConfirmedPlans = 32
)

// Row is the value of CurrentKey.
type Row struct {
	// Version increases by one with each confirmation; the first is 1.
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
	// Confirmed lists the most recently confirmed plans, newest last.
	Confirmed []ConfirmedPlan `json:"confirmed"`
}

// ConfirmedPlan is a confirmed plan and the configuration version that it produced.
type ConfirmedPlan struct {
	Plan    string `json:"plan"`
	Version uint64 `json:"version"`
}

// Next returns the row to be written when a plan is confirmed.
func (r Row) Next(plan string, document []byte) Row {
	confirmed := append(slices.Clone(r.Confirmed), ConfirmedPlan{Plan: plan, Version: r.Version + 1})
	if len(confirmed) > maxConfirmedPlans {
		confirmed = confirmed[len(confirmed)-maxConfirmedPlans:]
	}
	return Row{Version: r.Version + 1, Document: document, Confirmed: confirmed}
}

// VersionOfPlan returns the version that the confirmation of a plan produced; ok is false if the row does not list the plan.
func (r Row) VersionOfPlan(plan string) (version uint64, ok bool) {
	for _, c := range r.Confirmed {
		if c.Plan == plan {
			return c.Version, true
		}
	}
	return 0, false
}

// Applied is a configuration version as applied on this instance.
type Applied struct {
	Version  uint64
	Document Document

	teams map[teamKey]Team
}

type teamKey struct{ account, team string }

func newApplied(version uint64, d Document) Applied {
	a := Applied{Version: version, Document: d, teams: make(map[teamKey]Team, len(d.Teams))}
	for _, t := range d.Teams {
		a.teams[teamKey{t.Account, t.Team}] = t
	}
	return a
}

// Team returns the settings of a team; a team that is not listed has weight 1 and no limit.
func (a Applied) Team(account, team string) Team {
	if t, ok := a.teams[teamKey{account, team}]; ok {
		return t
	}
	return Team{Account: account, Team: team, Weight: 1}
}

// View holds the configuration in force on one instance. Its version only increases.
//
// Locking: mu protects the fields below it. applyMu is held while a version is applied, including the call of onApply, so
// that versions are applied in order. applyMu is acquired before mu.
type View struct {
	onApply func(Applied)

	applyMu sync.Mutex
	mu      sync.Mutex
	applied Applied
	// lastReadAt is when the latest read was sent that returned a row at least as new as the applied and the highest reported
	// version; hasRead is false if there was none or a higher version than the applied one has been reported since.
	lastReadAt time.Time
	hasRead    bool
	// highestReported is the highest version that another instance is known to have applied.
	highestReported uint64
}

// NewView returns a view with the default document as version 0. It admits no requests before the first read. onApply, if
// not nil, is called for each version that is applied.
func NewView(onApply func(Applied)) *View {
	return &View{onApply: onApply, applied: newApplied(0, Default())}
}

// Current returns the version in force.
func (v *View) Current() Applied {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applied
}

// ApplyPushed applies a version that a peer sent if it is higher than the current one. It does not count as a read: the message
// may have been delayed for any time, so it does not prove that no later version exists.
func (v *View) ApplyPushed(version uint64, document []byte) error { return v.apply(version, document) }

// ApplyRead applies the row as read from the table; a zero Row means that none is stored. sentAt is when the read was sent.
// A row older than the applied version or the highest reported one comes from a stale read and does not count as a read.
func (v *View) ApplyRead(sentAt time.Time, row Row) error {
	if row.Version > 0 {
		if err := v.apply(row.Version, row.Document); err != nil {
			return err
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if row.Version >= v.applied.Version && row.Version >= v.highestReported && (!v.hasRead || sentAt.After(v.lastReadAt)) {
		v.lastReadAt, v.hasRead = sentAt, true
	}
	return nil
}

// RecordReported records the highest version that other instances have reported. After a restart, this detects a stale read:
// until a read returns that version, Admit returns an error.
func (v *View) RecordReported(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.highestReported = max(v.highestReported, version)
	if v.highestReported > v.applied.Version {
		v.hasRead = false
	}
}

// apply validates and applies a document if its version is higher than the current one.
func (v *View) apply(version uint64, document []byte) error {
	v.applyMu.Lock()
	defer v.applyMu.Unlock()
	if version <= v.Current().Version {
		return nil
	}
	d, err := Parse(document)
	if err != nil {
		return err
	}
	next := newApplied(version, d)
	v.mu.Lock()
	v.applied = next
	v.mu.Unlock()
	if v.onApply != nil {
		v.onApply(next)
	}
	return nil
}

// Admit returns nil if requests that depend on the configuration may be admitted at time now, and a NotRun error otherwise.
func (v *View) Admit(now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.hasRead && now.Sub(v.lastReadAt) < MaxReadAge {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the configuration could not be read for %v", MaxReadAge).WithRetryAfter(PollInterval)
}
