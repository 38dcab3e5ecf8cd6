package config

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// TestEveryProblemIsReported guards against a check that stops at the first problem of a document.
func TestEveryProblemIsReported(t *testing.T) {
	for name, test := range map[string]struct{ document, want string }{
		"types and unknown keys": {
			`{"limits":{"max_in_flight":"many","colour":1},"teams":[{"account":"office","team":"fleet","weight":true}],"x":1}`,
			`limits.max_in_flight limits.colour teams[0].weight x`,
		},
		"ranges": {
			`{"limits":{"max_in_flight":0,"retry_percent":101},"teams":[{"account":"","team":"a","weight":0,"limit":{"slots":-1}}]}`,
			`limits.max_in_flight limits.retry_percent teams[0].account teams[0].weight teams[0].limit.slots`,
		},
		"duplicate team": {
			`{"teams":[{"account":"a","team":"b","weight":1},{"account":"a","team":"b","weight":2}]}`, `teams[1].team`,
		},
		"class":    {`{"classes":{"fast":{"weight":1,"max_queued":1}}}`, `classes.fast`},
		"trailing": {`{} {}`, `document`},
		"fraction": {`{"limits":{"max_in_flight":1.5}}`, `limits.max_in_flight`},
		"case":     {`{"Limits":{}}`, `Limits`},
		"no JSON":  {`{"limits":`, `document`},
	} {
		_, err := Parse([]byte(test.document))
		e := verdict.From(err)
		assert.Equal(t, e.Verdict, verdict.NotRun, name)
		paths := ""
		for i, p := range e.Detail.([]Problem) {
			if i > 0 {
				paths += " "
			}
			paths += p.Path
		}
		assert.Equal(t, paths, test.want, name)
	}
}

// TestPresentFieldsOverrideDefaults guards against fields that become zero because a document omits them, and against a
// parsed document that shares its map of classes with the defaults.
func TestPresentFieldsOverrideDefaults(t *testing.T) {
	d, err := Parse([]byte(`{"classes":{"short":{"weight":20,"max_share_percent":50,"queue_limit":7,"max_queued":5}},"limits":{"retry_percent":0}}`))
	assert.NilError(t, err)
	want := Default()
	want.Classes["short"] = Class{Weight: 20, MaxSharePercent: 50, QueueLimit: 7, MaxQueued: 5}
	want.Limits.RetryPercent = 0
	assert.DeepEqual(t, d, want)
	assert.Equal(t, Default().Class(model.ClassShort).Weight, 8)
}

// TestDiff guards against a plan that omits a change, or that shows reordered teams as a change.
func TestDiff(t *testing.T) {
	from, err := Parse([]byte(`{"teams":[{"account":"o","team":"x","weight":1},{"account":"o","team":"y","weight":2}]}`))
	assert.NilError(t, err)
	to, err := Parse([]byte(`{"teams":[{"account":"o","team":"y","weight":2},{"account":"o","team":"x","weight":3}],"limits":{"queue_delay_ms":70}}`))
	assert.NilError(t, err)
	changes, err := Diff(from, to)
	assert.NilError(t, err)
	assert.DeepEqual(t, changes, []Change{{"limits.queue_delay_ms", "50", "70"}, {"teams.o/x.weight", "1", "3"}})
}

func row(version uint64, document string) Row {
	return Row{Version: version, Document: json.RawMessage(document)}
}

// TestVersionNeverReverts guards against a stale read or a late push that replaces a later version, and against an invalid
// document that is applied.
func TestVersionNeverReverts(t *testing.T) {
	var applied []uint64
	v := NewView(func(a Applied) { applied = append(applied, a.Version) })
	now := time.Unix(1000, 0)
	assert.NilError(t, v.ApplyRead(now, row(3, `{}`)))
	assert.NilError(t, v.ApplyPushed(5, []byte(`{"limits":{"queue_delay_ms":70}}`)))
	assert.NilError(t, v.ApplyPushed(4, []byte(`{}`)))
	assert.NilError(t, v.ApplyRead(now.Add(time.Second), row(3, `{}`)))
	assert.ErrorContains(t, v.ApplyPushed(6, []byte(`{"limits":{"queue_delay_ms":0}}`)), "limits.queue_delay_ms")
	assert.DeepEqual(t, applied, []uint64{3, 5})
	assert.Equal(t, v.Current().Document.Limits.QueueDelayMS, 70)
}

// TestAdmitRequiresRecentRead guards against admission under a version whose age is unknown: before the first read,
// after a pause, after stale reads, after a push without a read, and when peers report a later version than a restarted
// instance has read.
func TestAdmitRequiresRecentRead(t *testing.T) {
	v := NewView(nil)
	now := time.Unix(1000, 0)
	assertRefused := func(at time.Time) {
		t.Helper()
		assert.Equal(t, verdict.Of(v.Admit(at)), verdict.NotRun)
	}
	assertRefused(now)
	assert.NilError(t, v.ApplyPushed(2, []byte(`{}`)))
	assertRefused(now)
	assert.NilError(t, v.ApplyRead(now, row(2, `{}`)))
	assert.NilError(t, v.Admit(now.Add(MaxReadAge-1)))
	assertRefused(now.Add(MaxReadAge))
	assert.NilError(t, v.ApplyRead(now.Add(MaxReadAge), row(1, `{}`)))
	assertRefused(now.Add(MaxReadAge))
	assert.NilError(t, v.ApplyRead(now.Add(MaxReadAge), row(2, `{}`)))
	assert.NilError(t, v.Admit(now.Add(MaxReadAge)))
	v.RecordReported(3)
	assertRefused(now.Add(MaxReadAge))
	assert.NilError(t, v.ApplyRead(now.Add(MaxReadAge+1), row(2, `{}`)))
	assertRefused(now.Add(MaxReadAge + 1))
	assert.NilError(t, v.ApplyRead(now.Add(MaxReadAge+2), row(3, `{}`)))
	assert.NilError(t, v.Admit(now.Add(MaxReadAge+2)))
}

// TestConfirmedPlansAreKept guards against a second version for a plan that is confirmed twice, and against a list of
// confirmed plans that grows without bound.
func TestConfirmedPlansAreKept(t *testing.T) {
	var r Row
	for i := range 2 * maxConfirmedPlans {
		r = r.Next(string(rune('a'+i)), []byte(`{}`))
	}
	version, ok := r.VersionOfPlan(string(rune('a' + 2*maxConfirmedPlans - 1)))
	assert.Assert(t, ok)
	assert.Equal(t, version, uint64(2*maxConfirmedPlans))
	assert.Equal(t, len(r.Confirmed), maxConfirmedPlans)
}
