// Package membership maintains one instance's view of the machines of a cell. It merges the platform's list, which lags and
// may be wrong, with the sessions in the table and with reports of peers. The view is only a hint: ownership is decided by
// the table and by the workers' fences. A View lives as long as the process.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentiltide/lentiltide/store"
)

const (
	// leavingTTL is how long a machine counts as leaving after the last report of it. Replicas of the platform's list lag by
	// different amounts, so a later response may hold older data.
	leavingTTL = time.Minute
	// missingWorkerTTL is how long a worker must be missing from the list before it is removed. The owner of its rack tracks
	// it by its leases; the removal only bounds the memory of this view.
	missingWorkerTTL = 24 * time.Hour
	// minListedFraction is the fraction of the known machines that a list must contain for the others to count as missing.
	minListedFraction = 0.5
)

// View is the merged view of the machines.
//
// Locking: mu protects machines; readers use an immutable snapshot without a lock, since the names of the racks and their
// workers are read far more often than they change.
type View struct {
	mu       sync.Mutex
	machines map[string]*machine

	snapshot atomic.Pointer[snapshot]
}

// snapshot is the merged view as of its last change. Its slices and maps are shared and never modified.
type snapshot struct {
	racks   []string
	byRack  map[string][]store.Member
	workers []store.Member
	leaving map[string]bool
}

// machine is a worker or an entry instance.
type machine struct {
	store.Member
	// lastListedAt is when a list last contained the machine, or was too short for its absence to count.
	lastListedAt time.Time
	// leavingReportedAt is when the list or a peer last reported the machine as leaving; zero if never.
	leavingReportedAt time.Time
}

// New returns an empty view.
func New() *View {
	v := &View{machines: map[string]*machine{}}
	v.snapshot.Store(&snapshot{})
	return v
}

// ApplyList applies a list received from the platform. It returns the workers that are newly leaving, and whether the view has
// changed.
//
// A list without valid entries changes nothing. A missing machine stays known with its last state, since a worker's tasks
// do not end because a list omits it. A worker stays in the rack in which it was first listed: a list that moves it must
// not make the owner of a second rack fence it. A machine that is listed as leaving counts as leaving for leavingTTL.
func (v *View) ApplyList(now time.Time, members []store.Member) (newlyLeaving []store.Member, changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	knownCount, listedCount := len(v.machines), 0
	for _, m := range members {
		if !isValid(m) {
			continue
		}
		listedCount++
		if v.mergeListed(now, m) {
			newlyLeaving = append(newlyLeaving, m)
		}
	}
	if listedCount == 0 {
		return nil, false
	}
	plausible := float64(listedCount) >= minListedFraction*float64(knownCount)
	for id, m := range v.machines {
		if !plausible {
			m.lastListedAt = now
		}
		if now.Sub(m.lastListedAt) > missingWorkerTTL {
			delete(v.machines, id)
		}
	}
	return newlyLeaving, v.updateSnapshot(now)
}

// updateSnapshot stores a new snapshot if the view has changed. Callers hold v.mu.
func (v *View) updateSnapshot(now time.Time) (changed bool) {
	next := &snapshot{byRack: map[string][]store.Member{}, leaving: map[string]bool{}}
	for id, m := range v.machines {
		if m.isLeaving(now) {
			next.leaving[id] = true
		}
		if m.Role == store.RoleWorker {
			next.workers = append(next.workers, m.member(now))
		}
	}
	slices.SortFunc(next.workers, func(a, b store.Member) int { return cmp.Compare(a.ID, b.ID) })
	old := v.snapshot.Load()
	if slices.Equal(old.workers, next.workers) && maps.Equal(old.leaving, next.leaving) {
		return false
	}
	for _, m := range next.workers {
		next.byRack[m.Rack] = append(next.byRack[m.Rack], m)
	}
	next.racks = slices.Sorted(maps.Keys(next.byRack))
	v.snapshot.Store(next)
	return true
}

func isValid(m store.Member) bool {
	switch m.Role {
	case store.RoleWorker:
		return m.ID != "" && m.Rack != "" && m.Address != ""
	case store.RoleEntry:
		return m.ID != ""
	default:
		return false
	}
}

// mergeListed merges one listed machine into the view; it returns true for a worker that is newly leaving. An entry whose
// role differs from the known one is ignored. Callers hold v.mu.
func (v *View) mergeListed(now time.Time, listed store.Member) bool {
	m := v.machines[listed.ID]
	if m == nil {
		m = &machine{Member: listed}
		v.machines[listed.ID] = m
	}
	if m.Role != listed.Role {
		return false
	}
	wasLeaving := m.isLeaving(now)
	m.lastListedAt = now
	m.Address, m.Capacity, m.Zone, m.Region = listed.Address, listed.Capacity, listed.Zone, listed.Region
	if listed.State == store.MemberLeaving {
		m.leavingReportedAt = now
	}
	return m.Role == store.RoleWorker && !wasLeaving && m.isLeaving(now)
}

func (m *machine) isLeaving(now time.Time) bool {
	return !m.leavingReportedAt.IsZero() && now.Sub(m.leavingReportedAt) < leavingTTL
}

// MarkLeaving marks machines as leaving on the report of a peer, whose list may be newer. Unknown machines are ignored. It
// reports whether the view has changed.
func (v *View) MarkLeaving(now time.Time, ids []string) (changed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, id := range ids {
		if m := v.machines[id]; m != nil {
			m.leavingReportedAt = now
		}
	}
	return v.updateSnapshot(now)
}

// IsLeaving reports whether a machine is leaving.
func (v *View) IsLeaving(id string) bool { return v.snapshot.Load().leaving[id] }

// Racks returns the names of all racks with a known worker, sorted. The slice is shared and must not be modified.
func (v *View) Racks() []string { return v.snapshot.Load().racks }

// Workers returns the known workers of a rack, ordered by id. The slice is shared and must not be modified.
func (v *View) Workers(rack string) []store.Member { return v.snapshot.Load().byRack[rack] }

// AllWorkers returns all known workers, ordered by id. The slice is shared and must not be modified.
func (v *View) AllWorkers() []store.Member { return v.snapshot.Load().workers }

// member returns the machine as a store.Member with its merged state.
func (m *machine) member(now time.Time) store.Member {
	out := m.Member
	out.State = store.MemberLive
	if m.isLeaving(now) {
		out.State = store.MemberLeaving
	}
	return out
}
