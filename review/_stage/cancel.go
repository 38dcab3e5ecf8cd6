package main

import (
	"fmt"
	"net/http"
	"time"
)

// playCancelUnknown cuts one instance off from the store. A client hands a lasting submission in there, leaves early, and cancels the
// submission at another instance.
func playCancelUnknown(s *system, trouble bool) ([]string, error) {
	const (
		submission = "00000000000000b1"
		cut        = 4500 * time.Millisecond
		patience   = 600 * time.Millisecond
		// calm is longer than contactMs, cancel_ms and stopTimeoutMs together.
		calm = 8 * time.Second
	)
	each := behavior{demand: demand{CPU: 1000, Memory: 1000}}
	var all []*executor
	for i := range 2 {
		e, _, err := s.addExecutor(fmt.Sprintf("i-%08x", i+1), fmt.Sprintf("m-%d", i+1), "", demand{CPU: 16000, Memory: 64000},
			func(string) behavior { return each })
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	if err := s.startNodes(3); err != nil {
		return nil, err
	}
	if err := s.awaitService(); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	var cutOff, other *node
	for _, n := range s.nodes {
		if n != s.leader() {
			cutOff, other = n, cutOff
		}
	}
	if trouble {
		s.record.note("%s is cut off from the store", cutOff.name)
		s.store.setFault(cutOff.name, storeSilent)
	}
	cutAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	body := stepBody(map[string]any{"count": 2, "cpu": 1000, "memoryRequestMb": 1000, "estimatedMs": 200, "longRunning": true})
	posted := s.call(cutOff, http.MethodPost, prefix+submission, body, patience)
	cancelled := s.call(other, http.MethodDelete, prefix+submission, "", 3*time.Second)
	if cancelled.status != http.StatusOK && cancelled.status != http.StatusGone {
		return nil, fmt.Errorf("the cancelling was not acknowledged")
	}
	cancelledAt := time.Now()
	time.Sleep(time.Until(cutAt.Add(cut)))
	if trouble {
		s.store.setFault(cutOff.name, storeServes)
		s.record.note("%s reaches the store again", cutOff.name)
	}
	time.Sleep(calm)
	s.state(other, submission)
	var breaks []string
	for _, e := range all {
		for _, task := range e.tasks() {
			breaks = append(breaks, fmt.Sprintf("task %s runs on %s %.1f s after the cancelling was answered with %d (the handing in with %d), %.1f s after the cut had ended",
				task, e.id, time.Since(cancelledAt).Seconds(), cancelled.status, posted.status, time.Since(cutAt.Add(cut)).Seconds()))
		}
	}
	return breaks, nil
}
