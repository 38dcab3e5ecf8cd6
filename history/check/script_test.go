package check

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
)

// script builds a history. Its times are milliseconds.
type script struct {
	events []history.Event
	calls  uint64
}

func (s *script) add(ms int64, e history.Event) {
	e.AtUS = ms * 1000
	s.events = append(s.events, e)
}

// call adds a call that is answered 10 ms later.
func (s *script) call(ms int64, c history.Call, a history.Answer) {
	s.calls++
	c.Number, a.Number = s.calls, s.calls
	if c.Instance == "" {
		c.Instance = "i1"
	}
	s.add(ms, history.Event{Kind: history.KindCall, Call: &c})
	s.add(ms+10, history.Event{Kind: history.KindAnswer, Answer: &a})
}

func (s *script) submit(ms int64, id string, v history.Verdict) {
	s.call(ms, history.Call{Operation: history.OperationSubmit, Job: id, Queue: "q"}, history.Answer{Verdict: v})
}

func (s *script) job(ms int64, j history.Job) {
	j.Queue = "q"
	s.add(ms, history.Event{Kind: history.KindJob, Job: &j})
	s.submit(ms, j.ID, history.VerdictAccepted)
}

func (s *script) state(ms int64, id string, state history.State) {
	s.call(ms, history.Call{Operation: history.OperationState, Job: id, Queue: "q"}, history.Answer{Verdict: history.VerdictState, State: state})
}

func (s *script) cancel(ms int64, id string, v history.Verdict) {
	s.call(ms, history.Call{Operation: history.OperationCancel, Job: id, Queue: "q"}, history.Answer{Verdict: v})
}

func (s *script) start(ms int64, task string, run uint64, worker string) *history.Start {
	t, err := history.ParseTask(task)
	if err != nil {
		panic(err)
	}
	start := &history.Start{Task: t, Run: run, Worker: worker, Instance: "i1", Epoch: 1}
	s.add(ms, history.Event{Kind: history.KindStart, Start: start})
	return start
}

func (s *script) end(ms int64, task string, run uint64, worker string, number uint64, result history.Result) {
	t, err := history.ParseTask(task)
	if err != nil {
		panic(err)
	}
	s.add(ms, history.Event{Kind: history.KindEnd, End: &history.End{Task: t, Run: run, Worker: worker, Number: number, Result: result}})
}

func (s *script) acknowledge(ms int64, worker string, upTo uint64) *history.Acknowledgement {
	a := &history.Acknowledgement{Worker: worker, Instance: "i1", UpTo: upTo}
	s.add(ms, history.Event{Kind: history.KindAcknowledgement, Acknowledgement: a})
	return a
}

func (s *script) worker(ms int64, worker string, c history.Change) {
	s.add(ms, history.Event{Kind: history.KindWorker, Worker: &history.Worker{
		Worker: worker, Change: c, Service: "s", Labels: []string{worker}, Capacity: history.Resources{CPUMilli: 4000, MemoryMB: 4000},
	}})
}

func (s *script) fault(ms int64, id string, c history.Change, target history.TargetKind, name string) {
	s.add(ms, history.Event{Kind: history.KindFault, Fault: &history.Fault{ID: id, Change: c, Kind: history.FaultSilent, Target: target, Name: name}})
}

func (s *script) configuration(ms int64, version uint64, c history.Change, queues ...history.Queue) {
	s.add(ms, history.Event{Kind: history.KindConfiguration, Configuration: &history.Configuration{Version: version, Change: c, Queues: queues}})
}

func (s *script) wave(ms int64, w history.Wave) {
	s.add(ms, history.Event{Kind: history.KindWave, Wave: &w})
}

// remove drops the events for which match is true.
func (s *script) remove(match func(*history.Event) bool) {
	s.events = slices.DeleteFunc(s.events, func(e history.Event) bool { return match(&e) })
}

// text returns the lines of the history in the order of their times.
func (s *script) text(t testing.TB) []byte {
	t.Helper()
	slices.SortStableFunc(s.events, func(a, b history.Event) int { return int(a.AtUS - b.AtUS) })
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	assert.NilError(t, encoder.Encode(history.Header{Format: "lentiltide-history", Schema: history.SchemaVersion, Source: t.Name()}))
	for _, e := range s.events {
		assert.NilError(t, encoder.Encode(e))
	}
	return out.Bytes()
}

// small is the demand of the tasks of the scripts.
var small = history.Resources{CPUMilli: 1000, MemoryMB: 1000}

// queue is the queue of the scripts.
func queue() history.Queue { return history.Queue{Name: "q", Service: "s", MaxAttempts: 2} }

// validScript is a history that tries every sentence and breaks none. Workers w1 to w3 have their names as labels.
func validScript() *script {
	s := &script{}
	for _, i := range []string{"i1", "i2"} {
		s.add(0, history.Event{Kind: history.KindInstance, Instance: &history.Instance{Instance: i, Change: history.ChangeBoot}})
	}
	for _, w := range []string{"w1", "w2", "w3"} {
		s.worker(0, w, history.ChangeBoot)
	}
	s.configuration(0, 1, history.ChangeWritten, queue())
	s.configuration(1, 1, history.ChangeConfirmed)
	s.completedJob()
	s.otherJobs()
	s.failedJob()
	s.configurationAndWave()
	s.add(30_000, history.Event{Kind: history.KindTraffic, Traffic: &history.Traffic{Change: history.ChangeEnd}})
	s.state(45_000, "watch", history.StateRunning)
	s.add(60_000, history.Event{Kind: history.KindClosed})
	return s
}

// completedJob is job a: two tasks, and one that depends on them, fails once, needs w1, and runs alone there.
func (s *script) completedJob() {
	s.job(5000, history.Job{ID: "a", Payload: "p", Steps: []history.Step{
		{Count: 2, Demand: small}, {Count: 1, Demand: small, DependsOn: []int{0}, RequiredLabel: "w1", MaxPerWorker: 1},
	}})
	s.start(5100, "a.0.0.0", 1, "w1").Payload = "p"
	s.start(5100, "a.0.0.1", 1, "w2").Payload = "p"
	s.end(5600, "a.0.0.0", 1, "w1", 1, history.ResultDone)
	s.end(5600, "a.0.0.1", 1, "w2", 1, history.ResultDone)
	s.add(5610, history.Event{Kind: history.KindListing, Listing: &history.Listing{Worker: "w2", UpTo: 1}})
	s.acknowledge(5650, "w1", 1)
	s.start(5700, "a.0.1.0", 1, "w1")
	s.end(6000, "a.0.1.0", 1, "w1", 2, history.ResultFailed)
	s.acknowledge(6050, "w1", 2)
	s.start(6100, "a.0.1.0", 2, "w1")
	s.end(6500, "a.0.1.0", 2, "w1", 3, history.ResultDone)
	s.acknowledge(6550, "w1", 3)
	s.state(5500, "a", history.StateRunning)
	s.state(6600, "a", history.StateCompleted)
	s.state(9000, "a", history.StateCompleted)
}

// otherJobs are a gang, a service, a job that is refused, one with speculative copies, one with times, and one that waits.
func (s *script) otherJobs() {
	s.job(7000, history.Job{ID: "gang", Steps: []history.Step{{Count: 2, Demand: small, Gang: true}}})
	s.start(7100, "gang.0.0.0", 1, "w1")
	s.start(7100, "gang.0.0.1", 1, "w2")
	s.end(7500, "gang.0.0.0", 1, "w1", 4, history.ResultDone)
	s.end(7500, "gang.0.0.1", 1, "w2", 2, history.ResultDone)
	s.acknowledge(7600, "w1", 4)

	s.job(7000, history.Job{ID: "watch", Steps: []history.Step{{Count: 1, Demand: small, LongRunning: true}}})
	s.start(7200, "watch.0.0.0", 1, "w3")

	s.submit(7000, "refused", history.VerdictRefused)

	s.job(7000, history.Job{ID: "copies", Steps: []history.Step{{Count: 1, Demand: small, Speculative: true}}})
	s.start(7300, "copies.0.0.0", 1, "w1")
	s.start(7400, "copies.0.0.0", 2, "w2")
	s.end(7800, "copies.0.0.0", 1, "w1", 5, history.ResultDone)
	s.acknowledge(7850, "w1", 5)
	s.end(7900, "copies.0.0.0", 2, "w2", 3, history.ResultStopped)

	s.job(7000, history.Job{ID: "timed", Steps: []history.Step{{Count: 1, Demand: small}}, Repetitions: 1, StartAtUS: 9_000_000})
	s.start(9000, "timed.0.0.0", 1, "w1")
	s.end(9100, "timed.0.0.0", 1, "w1", 6, history.ResultDone)

	s.job(7000, history.Job{ID: "late", Steps: []history.Step{{Count: 1, Demand: small}}})
	s.call(13_000, history.Call{Operation: history.OperationWaiting, Queue: "q"}, history.Answer{Verdict: history.VerdictWaiting, Waiting: 1})
	s.start(13_500, "late.0.0.0", 1, "w1")

	s.job(14_000, history.Job{ID: "unwanted", Steps: []history.Step{{Count: 2, Demand: small}}})
	s.start(14_100, "unwanted.0.0.0", 1, "w2")
	s.cancel(14_200, "unwanted", history.VerdictCancelled)
	s.start(14_300, "unwanted.0.0.1", 1, "w2")
	s.end(14_500, "unwanted.0.0.0", 1, "w2", 4, history.ResultStopped)
	s.end(14_600, "unwanted.0.0.1", 1, "w2", 5, history.ResultStopped)
	s.state(14_700, "unwanted", history.StateCancelled)
	s.end(14_700, "late.0.0.0", 1, "w1", 7, history.ResultDone)
}

// failedJob is a job whose task fails as often as its queue allows.
func (s *script) failedJob() {
	s.job(15_000, history.Job{ID: "broken", Steps: []history.Step{{Count: 1, Demand: small}}})
	s.start(15_100, "broken.0.0.0", 1, "w1")
	s.end(15_200, "broken.0.0.0", 1, "w1", 8, history.ResultFailed)
	s.start(15_300, "broken.0.0.0", 2, "w1")
	s.end(15_400, "broken.0.0.0", 2, "w1", 9, history.ResultFailed)
	s.acknowledge(15_500, "w1", 9)
	s.state(15_600, "broken", history.StateFailed)
}

// configurationAndWave changes the configuration, drains w2, and maintains two machines one after the other.
func (s *script) configurationAndWave() {
	s.configuration(16_000, 2, history.ChangeWritten, queue(), history.Queue{Name: "q2", Service: "s"})
	s.configuration(16_010, 2, history.ChangeConfirmed)
	waiting := history.Call{Operation: history.OperationWaiting, Queue: "q"}
	for _, ms := range []int64{18_100, 19_000} {
		s.call(ms, waiting, history.Answer{Verdict: history.VerdictWaiting, Version: 2})
	}
	s.add(20_000, history.Event{Kind: history.KindRegistry, Registry: &history.Registry{Worker: "w2", Change: history.ChangeDraining}})
	s.job(20_000, history.Job{ID: "last", Steps: []history.Step{{Count: 1, Demand: small}}})
	s.start(20_500, "last.0.0.0", 1, "w2")
	s.end(20_900, "last.0.0.0", 1, "w2", 6, history.ResultDone)
	s.acknowledge(20_950, "w2", 6)
	s.state(25_000, "last", history.StateCompleted)

	s.wave(21_000, history.Wave{Wave: 1, Change: history.ChangeRequested, Machines: []string{"m1", "m2"}, Maximum: 1})
	s.wave(21_100, history.Wave{Wave: 1, Change: history.ChangeBegan, Machine: "m1", Holder: "i1", Token: 7})
	s.wave(23_100, history.Wave{Wave: 1, Change: history.ChangeEnded, Machine: "m1"})
	s.wave(23_200, history.Wave{Wave: 1, Change: history.ChangeBegan, Machine: "m2", Holder: "i1", Token: 7})
	s.wave(23_300, history.Wave{Wave: 1, Change: history.ChangeCompleted})
}
