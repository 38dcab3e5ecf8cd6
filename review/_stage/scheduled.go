package main

import (
	"encoding/json"
	"time"
)

// playScheduled hands in a scheduled submission of many small steps, which runs each second. The leader is killed when its record of
// progress has outgrown a row of the store.
func playScheduled(s *system, trouble bool) ([]string, error) {
	const (
		submission  = "0000000000000101"
		steps       = 100
		repetitions = 600
		interval    = time.Second
		// killAfter is the time from the first occurrence to the kill, and settle the time after that.
		killAfter = 50 * time.Second
		settle    = 20 * time.Second
		restart   = 500 * time.Millisecond
	)
	each := behavior{duration: 100 * time.Millisecond, demand: demand{CPU: 200, Memory: 200}}
	if _, err := newCloud(s, 4, demand{CPU: 16000, Memory: 64000}, func(string) behavior { return each }); err != nil {
		return nil, err
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	if err := s.awaitService(); err != nil {
		return nil, err
	}
	all := make([]any, steps)
	for i := range all {
		all[i] = map[string]any{"count": 1, "cpu": 200, "memoryRequestMb": 200, "estimatedMs": 100}
	}
	body, err := json.Marshal(map[string]any{
		"specification": "review", "steps": all, "repetitions": repetitions, "startAtMs": time.Now().UnixMilli(), "intervalMs": interval.Milliseconds(),
	})
	if err != nil {
		return nil, err
	}
	if err := s.submit(s.nodes[0], submission, string(body)); err != nil {
		return nil, err
	}
	time.Sleep(killAfter)
	s.record.note("%d runs so far; the record of progress in the store has %d bytes", len(s.record.runsOf(submission)), s.progressBytes(submission))
	if trouble {
		if err := s.restartNode(s.leader(), restart); err != nil {
			return nil, err
		}
	}
	time.Sleep(settle)
	s.record.note("%d runs; the record of progress in the store has %d bytes", len(s.record.runsOf(submission)), s.progressBytes(submission))
	return s.record.startsAfterDone(), nil
}

// progressBytes returns the size of the row in which the product keeps the progress of a submission. It is shown, not judged.
func (s *system) progressBytes(submission string) int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return len(s.store.rows[rowKey{Table: "progress", Part: "cell", Key: submission}].Value)
}
