package main

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, and keeps the runs for the checks.
type record struct {
	began time.Time

	mu  sync.Mutex
	out *bufio.Writer
	// runs holds all runs by task; ends holds the ends in the order in which they came.
	runs map[string][]*runRecord
	ends []*runRecord
	// overCapacity describes the starts that brought an executor over its capacity.
	overCapacity []string
}

// runRecord is one run of a task on an executor.
type runRecord struct {
	task, executor string
	run            int64
	startedAt      time.Duration
	// endedAt and how say how the run ended; how is "lost" if it ended with its executor and empty while it runs.
	endedAt time.Duration
	how     string
	// notedAt is when the end was taken note of, 0 if it was not.
	notedAt time.Duration
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), out: bufio.NewWriter(f), runs: map[string][]*runRecord{}}, nil
}

func (r *record) now() time.Duration { return time.Since(r.began) }

// write adds a line. Callers hold mu.
func (r *record) write(format string, args ...any) {
	fmt.Fprintf(r.out, "%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

// note adds a line to the record, and prints it.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
	fmt.Printf("%8.3f %s\n", r.now().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

func (r *record) started(executor, task string, run int64, used, capacity demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("start %s run %d on %s", task, run, executor)
	r.runs[task] = append(r.runs[task], &runRecord{task: task, executor: executor, run: run, startedAt: r.now()})
	if used.CPU > capacity.CPU || used.Memory > capacity.Memory {
		r.overCapacity = append(r.overCapacity, fmt.Sprintf("%s run %d on %s: %+v of %+v", task, run, executor, used, capacity))
	}
}

// find returns the record of a run that has not ended. Callers hold mu.
func (r *record) find(executor, task string, run int64) *runRecord {
	for _, x := range r.runs[task] {
		if x.executor == executor && x.run == run && x.how == "" {
			return x
		}
	}
	panic("the record has no such run: " + task)
}

// ended records an end and returns its number.
func (r *record) ended(executor, task string, run int64, how string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("end %s run %d on %s: %s", task, run, executor, how)
	x := r.find(executor, task, run)
	x.endedAt, x.how = r.now(), how
	r.ends = append(r.ends, x)
	return len(r.ends) - 1
}

func (r *record) lost(executor, task string, run int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("end %s run %d on %s: gone with its executor", task, run, executor)
	x := r.find(executor, task, run)
	x.endedAt, x.how = r.now(), "lost"
}

// noted records that an end was taken note of: lastSeen has reached it.
func (r *record) noted(serial int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ends[serial].notedAt = r.now()
}

// noteTaken records up to which end an executor has learned that its ends were taken note of.
func (r *record) noteTaken(executor string, lastSeen int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("ends up to %d of %s are taken note of", lastSeen, executor)
}

// noteLate records that an executor carries out a hold late.
func (r *record) noteLate(executor string, lastSeen int64, listed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write("%s carries out a hold with lastSeen %d late; it lists %d ends", executor, lastSeen, listed)
}

// runsOf returns copies of the runs of the tasks of a submission.
func (r *record) runsOf(submission string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runRecord
	for task, runs := range r.runs {
		if strings.HasPrefix(task, submission+".") {
			for _, x := range runs {
				out = append(out, *x)
			}
		}
	}
	return out
}

// startsAfterDone returns the starts of tasks after a run of them has ended done, if that end was taken note of then or later.
func (r *record) startsAfterDone() (breaks []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.runs {
		for _, end := range runs {
			if end.how != "done" || end.notedAt == 0 {
				continue
			}
			for _, start := range runs {
				if start.startedAt > end.endedAt {
					breaks = append(breaks, fmt.Sprintf("task %s: run %d on %s ended done at %.3f s, taken note of at %.3f s; run %d was started on %s at %.3f s",
						task, end.run, end.executor, end.endedAt.Seconds(), end.notedAt.Seconds(), start.run, start.executor, start.startedAt.Seconds()))
				}
			}
		}
	}
	return breaks
}

// runsTogether returns the pairs of runs of one task that were at work at the same time.
func (r *record) runsTogether() (breaks []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.runs {
		for _, first := range runs {
			for _, second := range runs {
				if first.startedAt < second.startedAt && (first.how == "" || first.endedAt > second.startedAt) {
					breaks = append(breaks, fmt.Sprintf("task %s: run %d on %s from %.3f s to %.3f s (%s), run %d on %s from %.3f s",
						task, first.run, first.executor, first.startedAt.Seconds(), first.endedAt.Seconds(), first.how, second.run, second.executor, second.startedAt.Seconds()))
				}
			}
		}
	}
	return breaks
}
