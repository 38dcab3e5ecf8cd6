package telemetry

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
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
