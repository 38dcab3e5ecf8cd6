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
	// PlanPrefix is the prefix of the rows of plans that were not confirmed yet.
	PlanPrefix = "config/plan/"
	// PollEvery is the time between reads of CurrentKey.
	PollEvery = time.Second
	// MaxReadAge is how long a read of CurrentKey proves that no later version has been in force for longer. Together with the
	// poll it keeps an old version from being applied 4 s after a confirmation.
	MaxReadAge = 3 * time.Second
	// maxConfirmedPlans bounds the confirmed plans that a row remembers, so that a repeated confirmation gets its first result.
	maxConfirmedPlans = 32
)

// Row is the value of CurrentKey.
type Row struct {
	// Version rises by one with each confirmation; the first is 1.
	Version  uint64          `json:"version"`
	Document json.RawMessage `json:"document"`
	// Confirmed lists the last confirmed plans, the newest last.
	Confirmed []ConfirmedPlan `json:"confirmed"`
}

// ConfirmedPlan is a plan that was confirmed.
type ConfirmedPlan struct {
	Plan    string `json:"plan"`
	Version uint64 `json:"version"`
}

// Next returns the row that a confirmation of a plan writes.
func (r Row) Next(plan string, document []byte) Row {
	confirmed := append(slices.Clone(r.Confirmed), ConfirmedPlan{Plan: plan, Version: r.Version + 1})
	if len(confirmed) > maxConfirmedPlans {
		confirmed = confirmed[len(confirmed)-maxConfirmedPlans:]
	}
	return Row{Version: r.Version + 1, Document: document, Confirmed: confirmed}
}

// VersionOf returns the version that a plan became.
func (r Row) VersionOf(plan string) (version uint64, ok bool) {
	for _, c := range r.Confirmed {
		if c.Plan == plan {
			return c.Version, true
		}
	}
	return 0, false
}

// Applied is a version that is in force on this instance.
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

// Team returns the entry of a team; one that is not listed has weight 1 and no limit.
func (a Applied) Team(account, team string) Team {
	if t, ok := a.teams[teamKey{account, team}]; ok {
		return t
	}
	return Team{Account: account, Team: team, Weight: 1}
}

// View is the configuration in force on one instance. It only moves to higher versions.
//
// Locking: one lock; onApply runs under a second one, so that versions are applied in order.
type View struct {
	onApply func(Applied)

	applyMu sync.Mutex
	mu      sync.Mutex
	applied Applied
	// lastReadAt is when the last read of the row that was not older than the applied version began.
	lastReadAt time.Time
	hasRead    bool
	// highestReported is the highest version that any other instance is known to have applied.
	highestReported uint64
}

// NewView returns a view with the default document as version 0, which admits nothing before the first read. onApply is
// called for each version that is applied.
func NewView(onApply func(Applied)) *View {
	return &View{onApply: onApply, applied: newApplied(0, Default())}
}

// Current returns the version in force.
func (v *View) Current() Applied {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.applied
}

// Pushed takes a version that a peer sent. It does not count as a read: it may have been on its way for any time, so it
// does not prove that no later version exists.
func (v *View) Pushed(version uint64, document []byte) error { return v.apply(version, document) }

// Read takes the row as read from the table; a zero row means that none is stored. began is when the read was sent. A row
// older than the applied version is a stale read, which changes nothing and proves nothing.
func (v *View) Read(began time.Time, row Row) error {
	if row.Version > 0 {
		if err := v.apply(row.Version, row.Document); err != nil {
			return err
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if row.Version >= v.applied.Version && row.Version >= v.highestReported && (!v.hasRead || began.After(v.lastReadAt)) {
		v.lastReadAt, v.hasRead = began, true
	}
	return nil
}

// Reported takes the highest version that other instances have reported. After a restart it shows that a read was stale.
func (v *View) Reported(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.highestReported = max(v.highestReported, version)
	if v.highestReported > v.applied.Version {
		v.hasRead = false
	}
}

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

// Admit returns nil when requests that depend on the configuration may be admitted, and a NotRun error otherwise.
func (v *View) Admit(now time.Time) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.hasRead && now.Sub(v.lastReadAt) < MaxReadAge {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the configuration could not be read for %v", MaxReadAge).After(PollEvery)
}
