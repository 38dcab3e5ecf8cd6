// Package membership keeps one instance's view of the machines of a cell. It joins the platform's list, which lags and
// may be wrong, with the sessions in the table and with what peers report. The view only suggests: ownership is decided
// by the table and by the workers' fences. A View lives as long as the process.
package membership

import (
	"sort"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/platform"
)

const (
	// leavingHold is how long a machine stays leaving after the last sign of it. Replicas of the platform's list lag by
	// different times, so that a later answer may be older.
	leavingHold = time.Minute
	// forgetAfter is how long a worker must be missing from the list before it is forgotten. Its rack owner keeps track of
	// it by its leases; only the memory of this view is bounded here.
	forgetAfter = 24 * time.Hour
	// minShare is the share of the known workers that a list must hold for missing ones to count as missing.
	minShare = 0.5
)

// View is the joined view.
//
// Locking: one lock for all fields.
type View struct {
	mu       sync.Mutex
	machines map[string]*machine
	// listed is when the last list was taken.
	listed time.Time
}

// machine is a worker or an entry instance.
type machine struct {
	platform.Member
	// seen is when the machine was last in a list, or when the last list was taken that may have left it out wrongly.
	seen time.Time
	// leaving is when the last sign was taken that the machine is leaving; zero if there was none.
	leaving time.Time
}

// New returns an empty view.
func New() *View { return &View{machines: map[string]*machine{}} }

// List takes an answer of the platform and returns the workers that were not leaving before and are now.
//
// An empty list changes nothing. A machine that is missing stays known with its last state, since a worker's tasks do not
// end because of a list. A worker stays in the rack in which it was first listed: a list that moves it must not make a
// second rack owner fence it. A machine that is listed as leaving stays so for leavingHold.
func (v *View) List(now time.Time, members []platform.Member) (left []platform.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	known, listed := len(v.machines), 0
	for _, m := range members {
		if !valid(m) {
			continue
		}
		listed++
		if v.take(now, m) {
			left = append(left, m)
		}
	}
	if listed == 0 {
		return nil
	}
	v.listed = now
	trusted := float64(listed) >= minShare*float64(known)
	for id, m := range v.machines {
		if !trusted {
			m.seen = now
		}
		if now.Sub(m.seen) > forgetAfter {
			delete(v.machines, id)
		}
	}
	return left
}

func valid(m platform.Member) bool {
	switch m.Role {
	case platform.RoleWorker:
		return m.ID != "" && m.Rack != "" && m.Address != ""
	case platform.RoleEntry:
		return m.ID != ""
	default:
		return false
	}
}

// take enters one listed machine; it returns true for a worker that is newly leaving. Callers hold v.mu.
func (v *View) take(now time.Time, listed platform.Member) bool {
	m := v.machines[listed.ID]
	if m == nil {
		m = &machine{Member: listed}
		v.machines[listed.ID] = m
	}
	if m.Role != listed.Role {
		return false
	}
	before := m.isLeaving(now)
	m.seen = now
	m.Address, m.Capacity, m.Zone, m.Region = listed.Address, listed.Capacity, listed.Zone, listed.Region
	if listed.State == platform.MemberLeaving {
		m.leaving = now
	}
	return m.Role == platform.RoleWorker && !before && m.isLeaving(now)
}

func (m *machine) isLeaving(now time.Time) bool {
	return !m.leaving.IsZero() && now.Sub(m.leaving) < leavingHold
}

// Leaving takes the word of a peer that machines are leaving, whose own list may be newer. Unknown ones are ignored.
func (v *View) Leaving(now time.Time, ids []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range ids {
		if m := v.machines[id]; m != nil {
			m.leaving = now
		}
	}
}

// IsLeaving reports whether a machine is leaving.
func (v *View) IsLeaving(now time.Time, id string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.machines[id]
	return m != nil && m.isLeaving(now)
}

// Racks returns the names of all racks with a known worker, sorted.
func (v *View) Racks() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	seen := map[string]bool{}
	var names []string
	for _, m := range v.machines {
		if m.Role == platform.RoleWorker && !seen[m.Rack] {
			seen[m.Rack] = true
			names = append(names, m.Rack)
		}
	}
	sort.Strings(names)
	return names
}

// Workers returns the known workers of a rack, or of all racks for an empty name, ordered by id.
func (v *View) Workers(now time.Time, rack string) []platform.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var members []platform.Member
	for _, m := range v.machines {
		if m.Role == platform.RoleWorker && (rack == "" || m.Rack == rack) {
			members = append(members, m.member(now))
		}
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// member returns the machine with its joined state.
func (m *machine) member(now time.Time) platform.Member {
	out := m.Member
	out.State = platform.MemberLive
	if m.isLeaving(now) {
		out.State = platform.MemberLeaving
	}
	return out
}
