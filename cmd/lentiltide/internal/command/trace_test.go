package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestTrace guards against a trace that misses lines of the job, includes other jobs or is not ordered by time.
func TestTrace(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	first := write("i1.log", `{"time":"2026-01-01T00:00:02.000000Z","instance":"i1","event":"task_started","job":"aa","task":"aa.0.0.0","run":1}
not json aa
{"time":"2026-01-01T00:00:03.000000Z","instance":"i1","event":"task_started","job":"bb","task":"bb.0.0.0"}
`)
	second := write("i2.log", `{"time":"2026-01-01T00:00:01.000000Z","instance":"i2","event":"job_submitted","job":"aa","verdict":"ran"}
`)
	var out, errs bytes.Buffer
	code := Main(t.Context(), []string{"trace", "aa", first, second}, Streams{Out: &out, Err: &errs})
	assert.Equal(t, code, exitOK, errs.String())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[0], "i2 job_submitted") && strings.Contains(lines[0], "verdict=ran"))
	assert.Assert(t, strings.Contains(lines[1], "i1 task_started") && strings.Contains(lines[1], "run=1"))

	prefixed := "  12.5000 i1 {\"event\":\"b\",\"job\":\"aa\"}\n  -3.0000 i1 {\"event\":\"a\",\"job\":\"aa\"}\n"
	out.Reset()
	code = Main(t.Context(), []string{"trace", "aa"}, Streams{In: strings.NewReader(prefixed), Out: &out, Err: &errs})
	assert.Equal(t, code, exitOK, errs.String())
	assert.Assert(t, strings.Index(out.String(), " a") < strings.Index(out.String(), " b"))

	code = Main(t.Context(), []string{"trace", "zz", first}, Streams{Out: &out, Err: &errs})
	assert.Equal(t, code, exitNotRun)
}
