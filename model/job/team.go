package job

import (
	"crypto/rand"
	"crypto/sha256"
	"slices"

	"github.com/lentiltide/lentiltide/model"
)

// Team is a group of callers with keys and a share of the cell.
type Team struct {
	Name string
	// Keys identify the calls of the team. They must not be logged.
	Keys []string
	// Weight is the team's share of the capacity when all of it is in use, relative to the weights of other teams; 0 means 1. It is
	// also the number of jobs a second that the team may submit before its jobs yield to those of others; 0 means no limit.
	Weight float64
	// Limit is what the team may have running on all workers together. A field of 0 means no limit.
	Limit model.Resources
}

// equal reports whether two teams are the same.
func (t Team) equal(other Team) bool {
	return t.Name == other.Name && t.Weight == other.Weight && t.Limit == other.Limit && slices.Equal(t.Keys, other.Keys)
}

// keyDigest is a salted digest of a key. A lookup by digest takes no time that depends on how much of a key is right.
type keyDigest [sha256.Size]byte

// keySalt is the salt of the digests in this process.
var keySalt = newKeySalt()

func newKeySalt() []byte {
	salt := make([]byte, sha256.BlockSize)
	// The error is always nil.
	_, _ = rand.Read(salt)
	return salt
}

func digestKey(key string) keyDigest {
	return sha256.Sum256(append(slices.Clone(keySalt), key...))
}

// indexKeys returns the names of the teams by the digests of their keys.
func indexKeys(teams map[string]Team) map[keyDigest]string {
	if len(teams) == 0 {
		return nil
	}
	byKey := map[keyDigest]string{}
	for name, team := range teams {
		for _, key := range team.Keys {
			byKey[digestKey(key)] = name
		}
	}
	return byKey
}

// TeamOf returns the team that a key belongs to. The configuration must be indexed.
func (c *Config) TeamOf(key string) (team string, ok bool) {
	if c.Index == nil || key == "" {
		return "", false
	}
	team, ok = c.Index.teamByKey[digestKey(key)]
	return team, ok
}

// teamsEqual reports whether two sets of teams are the same.
func teamsEqual(a, b map[string]Team) bool {
	if len(a) != len(b) {
		return false
	}
	for name, team := range a {
		if other, ok := b[name]; !ok || !team.equal(other) {
			return false
		}
	}
	return true
}

// diffTeams returns the teams that were added or changed, and the names of those that were removed.
func diffTeams(from, to map[string]Team) (changed []Team, removed []string) {
	for name, team := range to {
		if former, ok := from[name]; !ok || !former.equal(team) {
			changed = append(changed, team)
		}
	}
	for name := range from {
		if _, ok := to[name]; !ok {
			removed = append(removed, name)
		}
	}
	return changed, removed
}

// applyTeams returns the teams after a change.
func applyTeams(from map[string]Team, changed []Team, removed []string) map[string]Team {
	if len(from)+len(changed) == 0 {
		return nil
	}
	to := make(map[string]Team, len(from)+len(changed))
	for name, team := range from {
		if !slices.Contains(removed, name) {
			to[name] = team
		}
	}
	for _, team := range changed {
		to[team.Name] = team
	}
	return to
}
