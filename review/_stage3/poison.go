package main

import (
	"fmt"
	"time"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

const (
	// taskTime is how long a task runs.
	taskTime = 500 * time.Millisecond
	// jobsBefore and jobsAfter are the ordinary submissions before and after the one that can never be done.
	jobsBefore, jobsAfter = 12, 12
	// finish is finish_s of the deployment, and idle the 3 s for which a submission may have nothing running though there is capacity.
	finish, idle = 14 * time.Second, 3 * time.Second
)

// impossible is a submission that can never be done: each of its two steps has as many tasks as an integer holds.
const impossible = `{"specification":"all of them","steps":[{"count":9223372036854775807,"cpu":1000,"memoryRequestMb":100,"estimatedMs":500},` +
	`{"count":9223372036854775807,"cpu":1000,"memoryRequestMb":100,"estimatedMs":500,"after":[0]}]}`

// playPoisonCount hands in one submission that can never be done.
func playPoisonCount(r *record, trouble bool) (outcome, error) {
	return playBesideOrdinary(r, func(s *stage) {
		if !trouble {
			return
		}
		r.printf("disturbance: one submission that can never be done")
		s.submit("b000000000000001", impossible, 4)
		time.Sleep(time.Second)
	})
}

const (
	// schedules is the number of scheduled submissions, handed in over scheduleTime: 1.4 a second.
	schedules, scheduleTime = 34, 24 * time.Second
	// times is how often a schedule runs, each second.
	times, timesWithoutTrouble = 20_000, 4
)

// playBacklog hands in schedules whose first times are long past.
func playBacklog(r *record, trouble bool) (outcome, error) {
	return playBesideOrdinary(r, func(s *stage) {
		if trouble {
			r.printf("disturbance: %d scheduled submissions, the first time of each %d s ago", schedules, times)
		}
		for i := range schedules {
			count, startAt := timesWithoutTrouble, time.Now()
			if trouble {
				count, startAt = times, time.Now().Add(-times*time.Second)
			}
			body := fmt.Sprintf(`{"specification":"check","steps":[{"count":1,"cpu":1000,"memoryRequestMb":100,"estimatedMs":500}],"repetitions":%d,"startAtMs":%d,"intervalMs":1000}`,
				count, startAt.UnixMilli())
			s.submit(fmt.Sprintf("%016x", 0xe001+i), body, 2)
			time.Sleep(scheduleTime / schedules)
		}
	})
}

// playBesideOrdinary hands in ordinary submissions before and after a disturbance. All accepted ordinary ones have to be completed, and no
// process may end by itself.
func playBesideOrdinary(r *record, disturb func(*stage)) (outcome, error) {
	s, err := newStage(r)
	if err != nil {
		return notRun, err
	}
	defer s.close()
	each := model.Resources{CPUMilli: 1000, MemoryMiB: 100}
	if err := s.addWorkers(8, 16, func(string) backends.TaskBehavior { return backends.TaskBehavior{Resources: each, Duration: taskTime} }); err != nil {
		return notRun, err
	}
	key, value := wire.ConfigRow(1, host, service, prefix)
	s.tables.Put(key, value)
	if err := s.addNodes(4, nil); err != nil {
		return notRun, err
	}
	if err := s.awaitServing(15 * time.Second); err != nil {
		return notRun, err
	}
	body := wire.JobBody(4, each, taskTime)
	var accepted []string
	hand := func(first, count int) {
		for i := range count {
			id := fmt.Sprintf("%016x", 0xa000+first+i)
			if s.submit(id, body, 4) {
				accepted = append(accepted, id)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	hand(0, jobsBefore)
	time.Sleep(2 * time.Second)
	before := len(accepted)
	done := 0
	for _, id := range accepted {
		if s.state(id) == "completed" {
			done++
		}
	}
	if before < jobsBefore || done < before {
		return notRun, fmt.Errorf("%d of %d submissions were accepted and %d done before the disturbance", before, jobsBefore, done)
	}
	disturb(s)
	hand(jobsBefore, jobsAfter)
	r.printf("the traffic has ended; %d ordinary submissions were accepted", len(accepted))
	time.Sleep(finish + idle)
	lost, ends := 0, 0
	for _, id := range accepted {
		if state := s.state(id); state != "completed" {
			lost++
			r.printf("LOST: %s was accepted and is shown as %q, %v after the end of the traffic", id, state, finish+idle)
		}
	}
	for _, n := range s.nodes {
		n.mu.Lock()
		ends += n.memoryKills
		r.printf("%s was started %d times and killed for its memory %d times", n.name, n.starts, n.memoryKills)
		n.mu.Unlock()
	}
	r.printf("%d of %d accepted ordinary submissions are not done; processes went over their memory %d times", lost, len(accepted), ends)
	if lost > 0 || ends >= 3 || len(accepted) < jobsBefore+jobsAfter {
		return broken, nil
	}
	return kept, nil
}
