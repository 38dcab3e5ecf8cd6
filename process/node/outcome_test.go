package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/connection/peer"
	"github.com/lentiltide/lentiltide/standin/backends"
)

// TestInsertKeepsTheExistingRow guards against a repeated submission that replaces the job that was accepted first.
func TestInsertKeepsTheExistingRow(t *testing.T) {
	tables := backends.NewTables()
	n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
	key := jobKey("a", shardName(1))
	existing, err := n.inserts.Insert(t.Context(), key, []byte("first"))
	assert.NilError(t, err)
	assert.Equal(t, len(existing), 0)
	existing, err = n.inserts.Insert(t.Context(), key, []byte("second"))
	assert.NilError(t, err)
	assert.Equal(t, string(existing), "first")
	assert.Equal(t, string(tables.Rows(jobTable)["a"].Value), "first")
}

// TestUnknownWriteIsReadBack guards against progress that counts as durable although its write did not take effect, progress that
// is written again although it did, and a former leader that does not notice that it has lost the leadership.
func TestUnknownWriteIsReadBack(t *testing.T) {
	cases := []struct {
		name           string
		newest         string
		otherLeader    bool
		stored, lost   bool
		versionChanges bool
	}{
		{name: "took effect", newest: "claim/3", stored: true, versionChanges: true},
		{name: "did not take effect", newest: "claim/2", versionChanges: true},
		{name: "another instance leads", newest: "claim/3", otherLeader: true, lost: true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tables := backends.NewTables()
			n, _ := newIdleNode(Options{Tables: tables, Peers: struct{ peer.Caller }{}})
			tables.Put(leaderKey, []byte("{}"))
			row, err := tables.Get(t.Context(), leaderKey)
			assert.NilError(t, err)
			l := &leadership{node: n, row: leaderRow{Claim: "claim"}, rowVersion: row.Version, writeCount: 3}
			if tc.otherLeader {
				tables.Put(leaderKey, []byte("{}"))
			}
			tables.Put(writeKey, []byte(tc.newest))
			stored, lost := l.resolveCommit(t.Context())
			assert.Equal(t, stored, tc.stored)
			assert.Equal(t, lost, tc.lost)
			assert.Equal(t, l.writeVersion != 0, tc.versionChanges)
		})
	}
}
