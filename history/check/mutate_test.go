package check

import "github.com/lentiltide/lentiltide/history"

// find returns the first event for which match is true.
func (s *script) find(match func(*history.Event) bool) *history.Event {
	for i := range s.events {
		if match(&s.events[i]) {
			return &s.events[i]
		}
	}
	panic("no such event")
}

func (s *script) startEvent(task string, run uint64) *history.Event {
	return s.find(func(e *history.Event) bool {
		return e.Kind == history.KindStart && e.Start.Task.String() == task && e.Start.Run == run
	})
}

func (s *script) startOf(task string, run uint64) *history.Start {
	return s.startEvent(task, run).Start
}

func (s *script) shiftStart(task string, run uint64, ms int64) {
	s.startEvent(task, run).AtUS = ms * 1000
}

// result changes how the first run of a task ends. An empty result removes the end.
func (s *script) result(task string, r history.Result) {
	match := func(e *history.Event) bool { return e.Kind == history.KindEnd && e.End.Task.String() == task }
	if r == "" {
		s.remove(match)
		return
	}
	s.find(match).End.Result = r
}

func (s *script) boot(worker string) *history.Worker {
	return s.find(func(e *history.Event) bool { return e.Kind == history.KindWorker && e.Worker.Worker == worker }).Worker
}

func (s *script) spec(job string) *history.Job {
	return s.find(func(e *history.Event) bool { return e.Kind == history.KindJob && e.Job.ID == job }).Job
}

// answerTo returns the answer to a call of the operation that was sent at the time.
func (s *script) answerTo(o history.Operation, ms int64) *history.Answer {
	call := s.find(func(e *history.Event) bool {
		return e.Kind == history.KindCall && e.Call.Operation == o && e.AtUS == ms*1000
	}).Call
	return s.find(func(e *history.Event) bool { return e.Kind == history.KindAnswer && e.Answer.Number == call.Number }).Answer
}

func (s *script) notFound(ms int64, job string) {
	s.call(ms, history.Call{Operation: history.OperationState, Job: job, Queue: "q"}, history.Answer{Verdict: history.VerdictNotFound})
}

func startAfterCrash(s *script) {
	s.job(24_000, history.Job{ID: "x", Steps: []history.Step{{Count: 1, Demand: small}}})
	s.start(24_100, "x.0.0.0", 1, "w1")
	s.end(24_200, "x.0.0.0", 1, "w1", 10, history.ResultDone)
	s.state(24_300, "x", history.StateCompleted)
	s.worker(24_400, "w1", history.ChangeCrash)
	s.worker(24_500, "w1", history.ChangeBoot)
	s.start(26_200, "x.0.0.0", 2, "w1")
	s.end(26_300, "x.0.0.0", 2, "w1", 1, history.ResultDone)
}

func wave(c history.Change, machine string) func(*history.Event) bool {
	return func(e *history.Event) bool {
		return e.Kind == history.KindWave && e.Wave.Change == c && e.Wave.Machine == machine
	}
}

func secondMachineEarly(s *script) { s.find(wave(history.ChangeBegan, "m2")).AtUS = 22_000_000 }

func withoutSecondMachine(s *script) { s.remove(wave(history.ChangeBegan, "m2")) }

func startAfterCancellation(s *script) {
	s.start(17_310, "unwanted.0.0.0", 2, "w3")
	s.end(17_400, "unwanted.0.0.0", 2, "w3", 1, history.ResultStopped)
}

func startOnDrainingWorker(s *script) {
	s.job(21_000, history.Job{ID: "x", Steps: []history.Step{{Count: 1, Demand: small}}})
	s.start(22_100, "x.0.0.0", 1, "w2")
	s.end(22_200, "x.0.0.0", 1, "w2", 7, history.ResultDone)
}

func missingQueue(s *script) {
	s.call(18_500, history.Call{Operation: history.OperationWaiting, Queue: "q2", Instance: "i2"}, history.Answer{Verdict: history.VerdictNoQueue})
}

func regress(s *script) {
	for i, ms := range []int64{16_100, 17_000} {
		s.call(ms, history.Call{Operation: history.OperationWaiting, Queue: "q"}, history.Answer{Verdict: history.VerdictWaiting, Version: uint64(2 - i)})
	}
}

func startLongAfter(s *script) {
	s.remove(func(e *history.Event) bool { return e.Kind == history.KindClosed })
	s.fault(179_000, "f", history.ChangeBegin, history.TargetLink, "i1")
	s.start(180_000, "a.0.0.0", 2, "w3")
	s.add(181_000, history.Event{Kind: history.KindClosed})
}
