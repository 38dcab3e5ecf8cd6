package check

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/history"
)

func checkText(t *testing.T, text []byte) *Report {
	t.Helper()
	r, err := File(bytes.NewReader(text))
	assert.NilError(t, err)
	return r
}

// TestValidHistory guards against rules that the checker holds stricter than they are, and against sentences that a history that
// touches them does not count as tried.
func TestValidHistory(t *testing.T) {
	r := checkText(t, validScript().text(t))
	assert.Equal(t, r.Incomplete, "")
	for _, s := range r.Sentences {
		assert.Equal(t, s.Verdict, Kept, "%s: %+v", s.Name, s.Breaks)
	}
}

// mutations break one sentence each, as the table in docs/rules.md lists them.
var mutations = []struct {
	sentence, mutation string
	mutate             func(*script)
	// at is the time of the event that completes the break, in milliseconds.
	at int64
}{
	{"TWICE concurrent", "a second run while the first one runs", func(s *script) { s.start(5200, "a.0.0.0", 2, "w3") }, 5200},
	{"TWICE done", "a start after the acknowledged end", func(s *script) { s.start(5900, "a.0.0.0", 2, "w3") }, 5900},
	{"TWICE done", "a start between the end and its acknowledgement", func(s *script) { s.start(5620, "a.0.0.0", 2, "w3") }, 5650},
	{"TWICE done", "a start after an end that was listed in calm", func(s *script) { s.start(5800, "a.0.0.1", 2, "w3") }, 5800},
	{"TWICE done", "a member of a gang starts after another one is done", func(s *script) { s.start(7700, "gang.0.0.1", 2, "w3") }, 7700},
	{"TWICE done", "an instance that is cut off starts a task three minutes later", startLongAfter, 180_000},
	{"TWICE known", "a copy starts 1.1 s after the acknowledged end", func(s *script) { s.start(8960, "copies.0.0.0", 3, "w3") }, 8960},
	{"TWICE shown", "the worker of a job that was shown as completed crashes before the acknowledgement, and the task starts again", startAfterCrash, 26_200},
	{"ORDER dependencies", "a start before the dependencies are done", func(s *script) { s.shiftStart("a.0.1.0", 1, 5550) }, 5550},
	{"ORDER time", "an occurrence starts 0.3 s early", func(s *script) { s.shiftStart("timed.0.0.0", 1, 8700) }, 8700},
	{"ROUTE service", "the worker has another service", func(s *script) { s.boot("w3").Service = "other" }, 7200},
	{"ROUTE label", "the worker has no label", func(s *script) { s.boot("w1").Labels = nil }, 5700},
	{"ROUTE spread", "the step allows one task on a worker, and two start there", func(s *script) { s.spec("unwanted").Steps[0].MaxPerWorker = 1 }, 14_300},
	{"LIMIT capacity", "the worker has less memory than two tasks need", func(s *script) { s.boot("w2").Capacity.MemoryMB = 1500 }, 7400},
	{"LIMIT wave", "the second machine begins while the first one is down", secondMachineEarly, 22_000},
	{"BUDGET attempts", "a third run before the ends are acknowledged", func(s *script) { s.start(15_450, "broken.0.0.0", 3, "w1") }, 15_500},
	{"BUDGET attempts", "a third run after the ends are acknowledged", func(s *script) { s.start(15_550, "broken.0.0.0", 3, "w1") }, 15_550},
	{"GANG alone", "a member ends alone", func(s *script) { s.result("gang.0.0.1", history.ResultAlone) }, 7500},
	{"UNASKED unknown", "a start of a job that nobody submitted", func(s *script) { s.start(10_000, "ghost.0.0.0", 1, "w3") }, 10_000},
	{"UNASKED unknown", "a start of a task that the job does not have", func(s *script) { s.start(5300, "a.0.0.2", 1, "w3") }, 5300},
	{"UNASKED unknown", "a start with another payload", func(s *script) { s.spec("a").Payload = "other" }, 5100},
	{"UNASKED cancelled", "a start 3.1 s after the cancellation", startAfterCancellation, 17_310},
	{"UNASKED runs on", "a task runs until the end", func(s *script) { s.result("unwanted.0.0.1", "") }, 18_100},
	{"REFUSED start", "a start of a job that was refused", func(s *script) { s.start(8000, "refused.0.0.0", 1, "w3") }, 8000},
	{"MIXED completed", "completed is shown while a task runs", func(s *script) { s.state(6200, "a", history.StateCompleted) }, 6210},
	{"MIXED state", "a state that does not exist", func(s *script) { s.state(8000, "watch", "odd") }, 8010},
	{"MIXED unknown", "a job that nobody submitted is shown", func(s *script) { s.state(8000, "ghost", history.StateQueued) }, 8010},
	{"MIXED waiting", "no job is said to wait", func(s *script) { s.answerTo(history.OperationWaiting, 13_000).Waiting = 0 }, 13_010},
	{"MIXED wave", "a wave is completed without one of its machines", withoutSecondMachine, 23_300},
	{"ONE holder", "another holder uses the token", func(s *script) {
		s.wave(21_200, history.Wave{Wave: 1, Change: history.ChangeBegan, Machine: "m1", Holder: "i2", Token: 7})
	}, 21_200},
	{"DRAIN start", "a start 2.1 s after the worker began to drain", startOnDrainingWorker, 22_100},
	{"LOST unknown", "an accepted job is not found", func(s *script) { s.notFound(12_000, "late") }, 12_010},
	{"LOST verdict", "a job is shown as failed without a failure", func(s *script) { s.state(13_200, "late", history.StateFailed) }, 13_210},
	{"LOST verdict", "a job is shown as cancelled that nobody cancelled", func(s *script) { s.state(13_200, "late", history.StateCancelled) }, 13_210},
	{"LOST finish", "the last question gets no answer", func(s *script) {
		s.answerTo(history.OperationState, 45_000).Verdict = history.VerdictNoAnswer
	}, 45_010},
	{"LOST idle", "a service stands still after the traffic", func(s *script) {
		s.end(40_000, "watch.0.0.0", 1, "w3", 1, history.ResultFailed)
	}, 60_000},
	{"CONFIG force", "an answer by the version before", func(s *script) { s.answerTo(history.OperationWaiting, 18_100).Version = 1 }, 18_110},
	{"CONFIG force", "a new queue does not exist", missingQueue, 18_510},
	{"CONFIG regress", "an answer by version 2, then one by version 1", regress, 17_010},
	{"ANSWERS linearizable", "a refusal after the acceptance", func(s *script) { s.submit(8000, "late", history.VerdictRefused) }, 8010},
	{"ANSWERS linearizable", "a completed job is shown as running", func(s *script) { s.state(9500, "a", history.StateRunning) }, 9510},
	{"ANSWERS linearizable", "an accepted job is not found by its cancellation", func(s *script) { s.cancel(12_000, "late", history.VerdictNotFound) }, 12_010},
}

// TestMutations guards against breaks that the checker does not find, that it finds under another sentence, or of which it does not
// name the event that completes them.
func TestMutations(t *testing.T) {
	found := map[string]bool{}
	for _, m := range mutations {
		t.Run(m.sentence+"/"+m.mutation, func(t *testing.T) {
			s := validScript()
			m.mutate(s)
			r := checkText(t, s.text(t))
			assert.DeepEqual(t, r.BrokenSentences(), []string{m.sentence})
			b := breakOf(r)
			assert.Equal(t, s.events[b.Line-2].AtUS/1000, m.at, "%+v", b)
			assert.Equal(t, b.Events[len(b.Events)-1].Line, b.Line)
			for _, e := range b.Events {
				assert.Assert(t, e.Event != "")
			}
			found[m.sentence] = true
		})
	}
	for _, s := range sentences {
		assert.Assert(t, found[s.name], "no mutation breaks %s", s.name)
	}
}

// breakOf returns the first break of a report.
func breakOf(r *Report) Break {
	for _, s := range r.Sentences {
		if len(s.Breaks) > 0 {
			return s.Breaks[0]
		}
	}
	return Break{}
}

// TestExceptions guards against breaks that are reported though the rules grant an exception.
func TestExceptions(t *testing.T) {
	for name, mutate := range map[string]func(*script){
		"the lease expired before the acknowledgement": func(s *script) {
			s.remove(func(e *history.Event) bool {
				return e.Kind == history.KindAcknowledgement && e.Acknowledgement.UpTo == 1
			})
			s.acknowledge(5650, "w1", 1).Expired = true
			s.start(5900, "a.0.0.0", 2, "w3")
		},
		"the worker was lost before the acknowledgement": func(s *script) {
			s.worker(20_910, "w2", history.ChangeCrash)
			s.worker(20_920, "w2", history.ChangeBoot)
			s.start(20_940, "last.0.0.0", 2, "w3")
		},
		"a start that the worker carried out late": func(s *script) {
			startAfterCancellation(s)
			s.startOf("unwanted.0.0.0", 2).Late = true
		},
		"a start by an instance that is cut off": func(s *script) {
			startOnDrainingWorker(s)
			s.fault(19_000, "f", history.ChangeBegin, history.TargetLink, "i1")
			s.fault(19_500, "f", history.ChangeEnd, history.TargetLink, "i1")
		},
		"an answer while the store is silent": func(s *script) {
			s.answerTo(history.OperationWaiting, 18_100).Version = 1
			s.fault(17_000, "f", history.ChangeBegin, history.TargetStore, "")
			s.fault(17_500, "f", history.ChangeEnd, history.TargetStore, "")
		},
		"a member is alone after a fault": func(s *script) {
			s.result("gang.0.0.1", history.ResultAlone)
			s.fault(5000, "f", history.ChangeBegin, history.TargetWorker, "w9")
			s.fault(5001, "f", history.ChangeEnd, history.TargetWorker, "w9")
		},
		"a start within a second after the job was shown": func(s *script) {
			startAfterCrash(s)
			s.shiftStart("x.0.0.0", 2, 25_200)
		},
		"a cancelled task runs on during a fault": func(s *script) {
			s.result("unwanted.0.0.1", "")
			s.fault(14_400, "f", history.ChangeBegin, history.TargetStore, "")
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := validScript()
			mutate(s)
			r := checkText(t, s.text(t))
			assert.Equal(t, len(r.BrokenSentences()), 0, "%v: %+v", r.BrokenSentences(), breakOf(r))
		})
	}
}

// TestDamagedHistory guards against a damaged history without a verdict on what could be read, and against one whose verdict hides
// the damage.
func TestDamagedHistory(t *testing.T) {
	text := validScript().text(t)
	lines := bytes.SplitAfter(text, []byte("\n"))
	gap := []byte(`{"at_us":0,"kind":"gap","gap":{"dropped":3}}` + "\n")
	for name, c := range map[string]struct {
		text       []byte
		events     int
		incomplete string
	}{
		"cut off within a line":  {text[:len(text)-len(lines[len(lines)-2])-5], len(lines) - 4, "cut off"},
		"without its end":        {bytes.Join(lines[:10], nil), 9, "closing event"},
		"out of order":           {bytes.Join([][]byte{lines[0], lines[20], lines[1]}, nil), 1, "line 3: the event is earlier"},
		"with a gap":             {bytes.Join([][]byte{lines[0], lines[1], gap, lines[2]}, nil), 1, "line 3: 3 events were dropped"},
		"with an oversized line": {append(bytes.Join(lines[:3], nil), make([]byte, 2*history.MaxLineBytes)...), 2, "line 4: the line is too long"},
	} {
		t.Run(name, func(t *testing.T) {
			r := checkText(t, c.text)
			assert.Equal(t, r.Events, c.events)
			assert.Assert(t, bytes.Contains([]byte(r.Incomplete), []byte(c.incomplete)), r.Incomplete)
			assert.Equal(t, len(r.BrokenSentences()), 0)
		})
	}
	_, err := File(bytes.NewReader([]byte("x\n")))
	assert.ErrorIs(t, err, history.ErrNoHistory)
}

// TestUntouchedSentences guards against sentences that are reported as kept though no event touched them.
func TestUntouchedSentences(t *testing.T) {
	s := &script{}
	s.add(0, history.Event{Kind: history.KindClosed})
	for _, sentence := range checkText(t, s.text(t)).Sentences {
		assert.Equal(t, sentence.Verdict, NotTried, sentence.Name)
	}
}

// FuzzRead guards against histories that make the reader or the checker panic or never end, and against breaks that name no line of
// the history.
func FuzzRead(f *testing.F) {
	valid := validScript().text(f)
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	for _, m := range mutations {
		s := validScript()
		m.mutate(s)
		f.Add(s.text(f))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := File(bytes.NewReader(text))
		if err != nil {
			return
		}
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, s := range r.Sentences {
			for _, b := range s.Breaks {
				assert.Assert(t, b.Line > 1 && b.Line <= lines)
			}
		}
	})
}
