package history

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const header = `{"format":"lentiltide-history","schema":1}` + "\n"

func traffic(at int64) string {
	return fmt.Sprintf(`{"at_us":%d,"kind":"traffic","traffic":{"change":"begin"}}`+"\n", at)
}

// readAll returns the events that text holds and the error that ends them, nil at the end of the file.
func readAll(text string) ([]Event, error) {
	r, err := NewReader(strings.NewReader(text))
	if err != nil {
		return nil, err
	}
	var out []Event
	for {
		e, err := r.Next()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, e)
	}
}

// TestRecorderKeepsOrderAndCountsWhatItDrops guards against a recorder that blocks its callers while its file is slow, that loses
// events without a trace, or that writes events of concurrent callers out of order.
func TestRecorderKeepsOrderAndCountsWhatItDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var file bytes.Buffer
		r := newRecorder(&slowWriter{w: &file}, SinceNow(), "test", 4)
		var callers sync.WaitGroup
		for i := range 10 {
			callers.Go(func() {
				for range 5 {
					started := time.Now()
					r.Record(Event{Kind: KindTraffic, Observer: fmt.Sprint(i), Traffic: &Traffic{Change: ChangeBegin}})
					assert.Equal(t, time.Since(started), time.Duration(0))
					time.Sleep(time.Millisecond)
				}
			})
		}
		callers.Wait()
		time.Sleep(2 * time.Hour)
		r.Record(Event{Kind: KindTraffic, Traffic: &Traffic{Change: ChangeEnd}})
		assert.NilError(t, r.Close())
		r.Record(Event{Kind: KindTraffic, Traffic: &Traffic{Change: ChangeEnd}})
		assert.NilError(t, r.Close())
		events, err := readAll(file.String())
		assert.NilError(t, err)
		var recorded, dropped uint64
		for _, e := range events {
			switch e.Kind {
			case KindTraffic:
				recorded++
			case KindGap:
				dropped += e.Gap.Dropped
			}
		}
		assert.Equal(t, recorded+dropped, uint64(51))
		assert.Assert(t, dropped > 0)
		assert.Equal(t, events[len(events)-1].Kind, KindClosed)
	})
}

// slowWriter takes a minute for each write.
type slowWriter struct{ w io.Writer }

func (s *slowWriter) Write(b []byte) (int, error) {
	time.Sleep(time.Minute)
	return s.w.Write(b)
}

// TestNilRecorder guards against observers that fail when nothing is recorded.
func TestNilRecorder(t *testing.T) {
	var r *Recorder
	r.Record(Event{Kind: KindClosed})
	assert.Equal(t, r.NextCall(), uint64(0))
	assert.NilError(t, r.Close())
}

// TestReaderNamesTheLine guards against damaged histories that are read as if they were whole.
func TestReaderNamesTheLine(t *testing.T) {
	for name, c := range map[string]struct {
		text   string
		events int
		line   int
		err    error
	}{
		"empty":          {"", 0, 1, ErrNoHistory},
		"other file":     {`{"kind":"call"}` + "\n", 0, 1, ErrNoHistory},
		"other schema":   {`{"format":"lentiltide-history","schema":2}` + "\n", 0, 1, ErrSchema},
		"cut off":        {header + traffic(1) + traffic(2)[:20], 1, 3, ErrCutOff},
		"out of order":   {header + traffic(5) + traffic(4), 1, 3, ErrOutOfOrder},
		"not an event":   {header + traffic(5) + "{}\n", 1, 3, ErrMalformed},
		"not JSON":       {header + "x\n" + traffic(5), 0, 2, ErrMalformed},
		"oversized line": {header + traffic(1) + strings.Repeat("x", MaxLineBytes+1) + "\n", 1, 3, ErrOversized},
	} {
		t.Run(name, func(t *testing.T) {
			events, err := readAll(c.text)
			assert.ErrorIs(t, err, c.err)
			var line *LineError
			assert.Assert(t, errors.As(err, &line))
			assert.Equal(t, line.Line, c.line)
			assert.Equal(t, len(events), c.events)
		})
	}
}

// TestTaskText guards against tasks that change on their way through a file.
func TestTaskText(t *testing.T) {
	for _, text := range []string{"5c0e.0.1.4", "a.b.2.0.17"} {
		task, err := ParseTask(text)
		assert.NilError(t, err)
		assert.Equal(t, task.String(), text)
	}
	for _, text := range []string{"", "a", "a.1.2", ".1.2.3", "a.1.2.x", "a.1.-2.3"} {
		_, err := ParseTask(text)
		assert.ErrorContains(t, err, "task name")
	}
}
