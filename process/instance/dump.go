package instance

import (
	"runtime"
	"runtime/metrics"
	"sort"
	"time"

	"github.com/lentiltide/lentiltide/version/ownership"
	"github.com/lentiltide/lentiltide/version/rack"
)

const (
	// DefaultDumpLimit bounds each list of a dump if the caller specifies no limit.
	DefaultDumpLimit = 200
	// MaxDumpLimit bounds the limit that a caller may specify.
	MaxDumpLimit = 2000
)

// Dump is the state of one process. The limit on the entries of each list bounds its size; Truncated counts the entries
// left out.
type Dump struct {
	Instance string      `json:"instance"`
	Zone     string      `json:"zone"`
	Process  ProcessDump `json:"process"`
	// ConfigVersion is the version of the configuration in force here.
	ConfigVersion uint64              `json:"config_version"`
	Sessions      []ownership.Session `json:"sessions"`
	Racks         []rack.Summary      `json:"racks"`
	Intents       []IntentDump        `json:"intents"`
	// Truncated counts the entries left out of each list, by the name of the list.
	Truncated map[string]int `json:"truncated,omitempty"`
}

// ProcessDump is the state of the process itself.
type ProcessDump struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap_bytes"`
	// SessionAgeMS is the time since the session was last renewed, in milliseconds; -1 if it never was.
	SessionAgeMS int64 `json:"session_age_ms"`
}

// IntentDump is the state of one intent partition.
type IntentDump struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Intents   int    `json:"intents"`
	Loaded    bool   `json:"loaded"`
	// JournalPending is the number of outcomes that are not durable yet.
	JournalPending int `json:"journal_pending"`
}

// Dump returns the state of the process with at most limit entries in each list. It holds each lock only while it copies
// short summaries, so it may be called under load.
func (in *Instance) Dump(limit int) Dump {
	stats := in.Stats()
	d := Dump{
		Instance: in.opts.Settings.Instance, Zone: in.opts.Settings.Zone, Truncated: map[string]int{},
		Process: processDump(stats.SessionAge), ConfigVersion: stats.ConfigVersion,
	}
	d.Sessions = truncate(d.Truncated, "sessions", in.owners.Sessions(), limit)
	d.Racks = truncate(d.Truncated, "racks", stats.Racks, limit)
	d.Intents = truncate(d.Truncated, "intents", stats.Intents, limit)
	return d
}

func processDump(sessionAge time.Duration) ProcessDump {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return ProcessDump{
		Goroutines: runtime.NumGoroutine(), HeapBytes: sample[0].Value.Uint64(), SessionAgeMS: sessionAge.Milliseconds(),
	}
}

// truncate shortens a list to limit entries and records in truncated, under name, how many it left out.
func truncate[T any](truncated map[string]int, name string, list []T, limit int) []T {
	if len(list) <= limit {
		return append([]T{}, list...)
	}
	truncated[name] = len(list) - limit
	return list[:limit]
}

// Stats are the frequently changing figures of a process, for its metrics and dumps.
type Stats struct {
	// Racks are the racks served here, sorted by name.
	Racks []rack.Summary
	// Intents are the intent partitions served here, sorted by number.
	Intents []IntentDump
	// SessionAge is the time since the session was last renewed; -1 ms if it never was.
	SessionAge time.Duration
	// ConfigVersion is the version of the configuration in force here.
	ConfigVersion uint64
}

// Stats returns the current figures of the process.
func (in *Instance) Stats() Stats {
	in.mu.Lock()
	racks := make([]*rackRunner, 0, len(in.racks))
	for _, r := range in.racks {
		racks = append(racks, r)
	}
	intents := make([]*intentRunner, 0, len(in.intents))
	loaded := map[*intentRunner]bool{}
	for _, r := range in.intents {
		intents = append(intents, r)
		loaded[r] = r.loaded
	}
	in.mu.Unlock()
	s := Stats{SessionAge: -time.Millisecond, ConfigVersion: in.config.Current().Version}
	if last := in.owners.LastRenewal(); !last.IsZero() {
		s.SessionAge = in.opts.Clock.Since(last)
	}
	for _, r := range racks {
		s.Racks = append(s.Racks, r.core.Summary())
	}
	for _, r := range intents {
		pending, _ := r.journal.Pending("")
		s.Intents = append(s.Intents, IntentDump{
			Partition: r.partition(), Epoch: r.core.Epoch(), Intents: r.core.Len(), Loaded: loaded[r], JournalPending: pending,
		})
	}
	sort.Slice(s.Racks, func(i, j int) bool { return s.Racks[i].Rack < s.Racks[j].Rack })
	sort.Slice(s.Intents, func(i, j int) bool { return s.Intents[i].Partition < s.Intents[j].Partition })
	return s
}
