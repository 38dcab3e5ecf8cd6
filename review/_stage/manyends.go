package main

import (
	"fmt"
	"time"
)

// playManyEnds takes the store away while a wide submission of short tasks runs, so that more than 500 ends wait on each executor
// until they can be taken note of.
func playManyEnds(s *system, trouble bool) ([]string, error) {
	const (
		executors   = 2
		tasks       = 2000
		submission  = "00000000000000a1"
		outage      = 4200 * time.Millisecond
		outageDelay = 500 * time.Millisecond
	)
	each := behavior{duration: 100 * time.Millisecond, demand: demand{CPU: 500, Memory: 500}}
	var all []*executor
	for i := range executors {
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
	body := stepBody(map[string]any{"count": tasks, "cpu": 500, "memoryRequestMb": 500, "estimatedMs": 100})
	if err := s.submit(s.nodes[0], submission, body); err != nil {
		return nil, err
	}
	time.Sleep(outageDelay)
	if trouble {
		s.record.note("the store is down for all")
		for _, n := range s.nodes {
			s.store.setFault(n.name, storeSilent)
		}
	}
	most := 0
	for end := time.Now().Add(outage); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, e := range all {
			_, ended := e.count()
			most = max(most, ended)
		}
	}
	if trouble {
		for _, n := range s.nodes {
			s.store.setFault(n.name, storeServes)
		}
		s.record.note("the store is back; up to %d ends waited on an executor", most)
	}
	if !waitFor(30*time.Second, func() bool {
		time.Sleep(time.Second)
		return s.state(s.nodes[1], submission) == "completed"
	}) {
		return nil, fmt.Errorf("the submission was not completed")
	}
	time.Sleep(3 * time.Second)
	s.record.note("%d runs of %d tasks", len(s.record.runsOf(submission)), tasks)
	return s.record.startsAfterDone(), nil
}
