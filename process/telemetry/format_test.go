package telemetry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/version/cell"
)

// The lines must stay those of logrus, which operators' tools read: keys, order, escapes and the names of clashing fields.
func TestLinesAreThoseOfLogrus(t *testing.T) {
	fields := map[string]logrus.Fields{
		"none":    {},
		"common":  {"event": "task_started", "count": 3, "ms": int64(-7), "epoch": uint64(9), "lost": true, "share": 0.25},
		"escapes": {"text": "a\"b\\c\n<d>&é\u2028\xff", "ключ": "v"},
		"typed":   {"how": backend.ResultDone, "list": []string{"x"}, "map": map[string]int{"a": 1}, "nothing": nil},
		"errors":  {"error": errors.New("no \"answer\"")},
		"clashes": {"time": "t", "msg": "m", "level": 1, "logrus_error": "e", "func": "f", "file": "g"},
	}
	reference := &logrus.JSONFormatter{TimestampFormat: timeFormat}
	for name, data := range fields {
		t.Run(name, func(t *testing.T) {
			entry := &logrus.Entry{Data: data, Time: time.Date(2026, 1, 2, 3, 4, 5, 6789000, time.UTC), Level: logrus.WarnLevel, Message: "a <message>"}
			want, err := reference.Format(entry)
			assert.NilError(t, err)
			got, err := lineFormatter{}.Format(entry)
			assert.NilError(t, err)
			assert.Equal(t, string(got), string(want))
		})
	}
}

// A value that cannot be encoded must be reported, like logrus does.
func TestUnencodableFieldIsReported(t *testing.T) {
	_, err := lineFormatter{}.Format(&logrus.Entry{Data: logrus.Fields{"f": func() {}}})
	assert.ErrorContains(t, err, "field \"f\"")
}

// The lines of decisions must be those that the logger itself would write.
func TestDecisionLogWritesTheLinesOfTheLogger(t *testing.T) {
	var direct, logged bytes.Buffer
	entry := func(out io.Writer) *logrus.Entry {
		return NewLogger(out, logrus.InfoLevel).WithFields(logrus.Fields{"instance": "a-1", "zone": "a"})
	}
	fields := map[string]any{"task": "j.0.0.1", "run": int64(2), "how": backend.ResultDone}
	entry(&logged).WithFields(fields).WithFields(logrus.Fields{"event": "run_ended", "job": "j"}).Info("run_ended")
	NewDecisionLog(entry(&direct)).Log(cell.Decision{Event: "run_ended", Job: "j", Fields: fields})
	times := regexp.MustCompile(`"time":"[^"]*"`)
	assert.Equal(t, times.ReplaceAllString(direct.String(), ""), times.ReplaceAllString(logged.String(), ""))
	direct.Reset()
	NewDecisionLog(NewLogger(&direct, logrus.WarnLevel).WithField("zone", "a")).Log(cell.Decision{Event: "run_ended"})
	assert.Equal(t, direct.String(), "")
}

// Lines must reach the output whole and in order although several are written at once.
func TestAsyncWriterKeepsLines(t *testing.T) {
	var out, want bytes.Buffer
	w := NewAsyncWriter(&out)
	for i := range maxQueuedLines {
		line := fmt.Sprintf("%d %s\n", i, strings.Repeat("x", i%200))
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	w.Close(time.Minute)
	assert.Equal(t, w.Dropped(), uint64(0))
	assert.Equal(t, out.String(), want.String())
}

// fullPipe takes a part of each second write and then fails as a pipe that is full and does not block.
type fullPipe struct {
	bytes.Buffer
	writes int
}

func (p *fullPipe) Write(data []byte) (int, error) {
	p.writes++
	if p.writes%2 == 1 && len(data) > 1 {
		n, _ := p.Buffer.Write(data[:len(data)/2])
		return n, &os.PathError{Op: "write", Path: "stdout", Err: syscall.EAGAIN}
	}
	return p.Buffer.Write(data)
}

// Lines must not be lost, and none be cut, while the reader of a pipe that does not block is slow.
func TestAsyncWriterWaitsForAFullPipe(t *testing.T) {
	var out fullPipe
	var want bytes.Buffer
	w := NewAsyncWriter(&out)
	for i := range 300 {
		line := fmt.Sprintf("%d %s\n", i, strings.Repeat("x", 10*(i%100)))
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		assert.NilError(t, err)
	}
	w.Close(time.Minute)
	assert.Equal(t, out.String(), want.String())
}

// BenchmarkDecision measures the log line of one decision, without the output.
func BenchmarkDecision(b *testing.B) {
	log := NewDecisionLog(NewLogger(io.Discard, logrus.InfoLevel).WithFields(logrus.Fields{"instance": "front-a-1", "zone": "a"}))
	b.ReportAllocs()
	for b.Loop() {
		log.Log(cell.Decision{Event: "task_started", Job: "5c0e7a21d94b36f8", Fields: map[string]any{
			"task": "5c0e7a21d94b36f8.0.1.17", "run": int64(2), "worker": "i-12ab34cd56", "waited_ms": int64(12), "free_cpu_milli": int64(4000),
			"resumed": false, "stamp_age_ms": int64(3),
		}})
	}
}

func BenchmarkLine(b *testing.B) {
	entry := &logrus.Entry{Time: time.Now(), Level: logrus.InfoLevel, Message: "task_started", Data: logrus.Fields{
		"event": "task_started", "job": "5c0e7a21d94b36f8", "task": "5c0e7a21d94b36f8.0.1.17", "run": int64(2), "worker": "i-12ab34cd56",
		"waited_ms": int64(12), "free_cpu_milli": int64(4000), "resumed": false, "stamp_age_ms": int64(3), "instance": "front-a-1", "zone": "a",
	}}
	for name, f := range map[string]logrus.Formatter{"lineFormatter": lineFormatter{}, "JSONFormatter": &logrus.JSONFormatter{TimestampFormat: timeFormat}} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := f.Format(entry); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
