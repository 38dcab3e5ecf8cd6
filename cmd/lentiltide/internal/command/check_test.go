package command

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/history/check"
)

// TestCheck guards against histories that break a rule or cannot be read and that a script takes for kept.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	write := func(name string, states ...history.State) string {
		path := filepath.Join(dir, name)
		f, err := os.Create(path)
		assert.NilError(t, err)
		defer f.Close()
		r := history.NewRecorder(f, func() time.Duration { return time.Second }, name)
		r.Record(history.Event{Kind: history.KindCall, Call: &history.Call{Number: 1, Operation: history.OperationSubmit, Job: "a"}})
		r.Record(history.Event{Kind: history.KindAnswer, Answer: &history.Answer{Number: 1, Verdict: history.VerdictAccepted}})
		for i, s := range states {
			number := uint64(i) + 2
			r.Record(history.Event{Kind: history.KindCall, Call: &history.Call{Number: number, Operation: history.OperationState, Job: "a"}})
			r.Record(history.Event{Kind: history.KindAnswer, Answer: &history.Answer{Number: number, Verdict: history.VerdictState, State: s}})
		}
		assert.NilError(t, r.Close())
		return path
	}
	kept := write("kept", history.StateRunning, history.StateCompleted)
	broken := write("broken", history.StateCompleted, history.StateFailed)
	text, err := os.ReadFile(kept)
	assert.NilError(t, err)
	cutOff, other := filepath.Join(dir, "cut"), filepath.Join(dir, "other")
	assert.NilError(t, os.WriteFile(cutOff, text[:len(text)-10], 0o600))
	assert.NilError(t, os.WriteFile(other, []byte("{}\n"), 0o600))
	for _, c := range []struct {
		file        string
		code        int
		out, stderr string
	}{
		{kept, exitOK, "not tried ORDER dependencies", ""},
		{broken, exitBroken, "broken    ANSWERS linearizable", "breaks ANSWERS linearizable"},
		{cutOff, exitUnreadable, "kept      MIXED state", "the line is cut off"},
		{other, exitUnreadable, "", "line 1: not a history"},
		{filepath.Join(dir, "none"), exitUnreadable, "", "no such file"},
	} {
		code, out, stderr := runCommand("", "check", c.file)
		assert.Equal(t, code, c.code, c.file+stderr)
		assert.Assert(t, strings.Contains(out, c.out), out)
		assert.Assert(t, strings.Contains(stderr, c.stderr), stderr)
	}
	code, out, _ := runCommand("", "check", broken, "--json")
	assert.Equal(t, code, exitBroken)
	var report check.Report
	assert.NilError(t, json.Unmarshal([]byte(out), &report))
	assert.DeepEqual(t, report.BrokenSentences(), []string{"ANSWERS linearizable"})
}
