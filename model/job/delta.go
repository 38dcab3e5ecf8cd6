package job

import (
	"maps"

	"github.com/cockroachdb/errors"
)

// ConfigDelta is the difference between two versions of a configuration. It is small where a configuration of thousands of queues
// changes in a few of them.
type ConfigDelta struct {
	// From is the version that the delta applies to; 0 means that it holds a whole configuration. To is the version after it.
	From, To uint64
	// Changed are the queues that were added or changed, in the order of the new version, and Positions their places in it. A whole
	// configuration has no positions.
	Changed   []Queue
	Positions []int
	// Removed are the names of the queues that the new version lacks.
	Removed []string
	// Services and MaxBodyBytes are those of the new version.
	Services     map[string]Service
	MaxBodyBytes int64
	// ChangedTeams are the teams that were added or changed, and RemovedTeams the names of those that the new version lacks.
	ChangedTeams []Team
	RemovedTeams []string
}

// WholeConfig returns the delta that holds a whole configuration.
func WholeConfig(c Config) ConfigDelta {
	d := ConfigDelta{To: c.Version, Changed: c.Queues, Services: c.Services, MaxBodyBytes: c.MaxBodyBytes}
	d.ChangedTeams, _ = diffTeams(nil, c.Teams)
	return d
}

// DiffConfig returns the delta between two versions. ok is false if the new version cannot be expressed as one: it has two queues of
// a name, or orders the queues of the old one differently.
func DiffConfig(from, to Config) (d ConfigDelta, ok bool) {
	if from.Version == 0 {
		return ConfigDelta{}, false
	}
	d = ConfigDelta{From: from.Version, To: to.Version, Services: to.Services, MaxBodyBytes: to.MaxBodyBytes}
	d.ChangedTeams, d.RemovedTeams = diffTeams(from.Teams, to.Teams)
	old := make(map[string]Queue, len(from.Queues))
	for _, q := range from.Queues {
		old[q.Name] = q
	}
	for i, q := range to.Queues {
		former, existed := old[q.Name]
		if !existed || !former.equal(q) {
			d.Changed = append(d.Changed, q)
			d.Positions = append(d.Positions, i)
		}
		delete(old, q.Name)
	}
	for name := range old {
		d.Removed = append(d.Removed, name)
	}
	result, err := d.Apply(from)
	return d, err == nil && result.equal(to)
}

// Apply returns the configuration after the delta. It fails if c has another version than the one that the delta applies to.
func (d ConfigDelta) Apply(c Config) (Config, error) {
	out := Config{Version: d.To, Services: d.Services, MaxBodyBytes: d.MaxBodyBytes}
	if d.From == 0 {
		out.Queues, out.Teams = d.Changed, applyTeams(nil, d.ChangedTeams, nil)
		return out, nil
	}
	if d.From != c.Version {
		return Config{}, errors.Newf("a delta for version %d does not apply to version %d", d.From, c.Version)
	}
	if len(d.Positions) != len(d.Changed) {
		return Config{}, errors.Newf("a delta has %d positions for %d queues", len(d.Positions), len(d.Changed))
	}
	out.Teams = applyTeams(c.Teams, d.ChangedTeams, d.RemovedTeams)
	kept := d.unchanged(c.Queues)
	if n := len(kept) + len(d.Changed); n > 0 {
		out.Queues = make([]Queue, 0, n)
	}
	next := 0
	for len(kept) > 0 || next < len(d.Changed) {
		switch {
		case next < len(d.Changed) && d.Positions[next] <= len(out.Queues):
			out.Queues = append(out.Queues, d.Changed[next])
			next++
		case len(kept) > 0:
			out.Queues = append(out.Queues, kept[0])
			kept = kept[1:]
		default:
			return Config{}, errors.Newf("a delta places a queue at %d of %d", d.Positions[next], len(out.Queues))
		}
	}
	return out, nil
}

// unchanged returns the queues that the delta neither changes nor removes.
func (d ConfigDelta) unchanged(queues []Queue) []Queue {
	affected := make(map[string]struct{}, len(d.Changed)+len(d.Removed))
	for _, q := range d.Changed {
		affected[q.Name] = struct{}{}
	}
	for _, name := range d.Removed {
		affected[name] = struct{}{}
	}
	var kept []Queue
	for _, q := range queues {
		if _, ok := affected[q.Name]; !ok {
			kept = append(kept, q)
		}
	}
	return kept
}

// equal reports whether two configurations hold the same, whether they are indexed or not.
func (c *Config) equal(other Config) bool {
	if c.Version != other.Version || c.MaxBodyBytes != other.MaxBodyBytes || len(c.Queues) != len(other.Queues) {
		return false
	}
	for i, q := range c.Queues {
		if !q.equal(other.Queues[i]) {
			return false
		}
	}
	return maps.Equal(c.Services, other.Services) && teamsEqual(c.Teams, other.Teams)
}

// equal reports whether two queues are the same.
func (q Queue) equal(other Queue) bool {
	a, b := q.Advice, other.Advice
	q.Advice, other.Advice = nil, nil
	if q != other || (a == nil) != (b == nil) {
		return false
	}
	return a == nil || *a == *b
}
