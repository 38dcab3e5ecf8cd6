package cell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
)

// answer permits the asked workers whose index keep says, with tickets for a time.
func (w *world) answer(a *AdviseAction, validity time.Duration, keep func(i int) bool) {
	var good []backend.Ticket
	for i, id := range a.Workers {
		if keep(i) {
			good = append(good, backend.Ticket{Worker: id, Ticket: "t-" + id})
		}
	}
	w.core.AdviceResult(a, good, validity, nil, w.now)
}

func all(int) bool { return true }

// fleet lists workers.
func (w *world) fleet(count int) {
	for i := range count {
		w.worker(fmt.Sprintf("w%02d", i))
	}
}

// Guards against short questions that wait behind long ones: some instances are kept for short questions, and an instance
// is asked one question at a time.
func TestShortQuestionsDoNotWaitBehindLongOnes(t *testing.T) {
	w := newWorld(t, 1)
	w.fleet(10)
	w.core.SetAdvisers([]string{"i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"})
	for i := range 20 {
		w.add(fmt.Sprintf("audit%02d", i), "long", 1, tasks(2))
	}
	w.step()
	assert.Equal(t, len(w.advices), 8-shortReserve(8))
	used := map[string]bool{}
	for _, a := range w.advices {
		assert.Assert(t, !used[a.Adviser])
		used[a.Adviser] = true
	}
	w.advices = nil
	for i := range 20 {
		w.add(fmt.Sprintf("booking%02d", i), "short", 1, tasks(2))
	}
	w.step()
	assert.Equal(t, len(w.advices), shortReserve(8))
	for _, a := range w.advices {
		assert.Assert(t, a.Expected < longQuestion)
	}
	// The backlog of an advice peak: with answers after their expected time, every booking starts within half a second,
	// while one instance alone would have needed longer for the first audits already.
	waited := w.now
	for w.now < waited+500*time.Millisecond && len(w.starts) < 40 {
		for _, a := range w.advices {
			w.answer(a, 2500*time.Millisecond, all)
		}
		w.advices = nil
		w.now += 25 * time.Millisecond
		for i := range 10 {
			w.read(fmt.Sprintf("w%02d", i), nil, nil)
		}
		w.step()
	}
	assert.Equal(t, len(w.starts), 40)
}

// Guards against starts without a ticket, with one that has run out, and against questions whose answers are known.
func TestTicketsRunOutAndAnswersStay(t *testing.T) {
	w := newWorld(t, 1)
	w.fleet(4)
	w.core.SetAdvisers([]string{"i1"})
	w.add("a", "short", 1, tasks(1, after()), tasks(1, after(0)))
	w.add("blocker", "plain", 1, tasks(16))
	w.step()
	assert.Equal(t, len(w.starts), 16)
	running := w.confirm()
	first := w.advices
	w.advices = nil
	if len(first) == 1 {
		w.answer(first[0], time.Second, func(i int) bool { return i == 0 })
	}
	w.run(1500 * time.Millisecond)
	// Room appears only after the tickets have run out: the good worker is asked about again, bad ones are not.
	for i := range 4 {
		id := fmt.Sprintf("w%02d", i)
		var ends []backend.EndedTask
		for _, r := range running[id] {
			ends = append(ends, w.end(id, r.Task, r.Run, backend.EndDone))
		}
		w.read(id, nil, ends)
	}
	w.step()
	assert.Equal(t, len(w.starts), 0)
	assert.Equal(t, len(w.advices), 1)
	if len(first) == 1 {
		bad := first[0].Workers[1:]
		for _, id := range w.advices[0].Workers {
			for _, b := range bad {
				assert.Assert(t, id != b)
			}
		}
	}
	w.answer(w.advices[0], time.Second, all)
	w.step()
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, w.starts[0].Order.Ticket, "t-"+w.starts[0].Order.Worker.ID)
}

// Guards against an instance without an answer that keeps its question for ever.
func TestFailedQuestionIsAskedElsewhere(t *testing.T) {
	w := newWorld(t, 1)
	w.fleet(4)
	w.core.SetAdvisers([]string{"i1", "i2"})
	w.add("a", "short", 1, tasks(1))
	w.step()
	asked := w.advices[0]
	w.core.AdviceResult(asked, nil, 0, errSilent, w.now)
	w.advices = nil
	w.step()
	assert.Equal(t, len(w.advices), 1)
	assert.Assert(t, w.advices[0].Adviser != asked.Adviser)
}

// Guards against attempts that are burnt on a worker that fails everything, and against a sound worker that is avoided
// because of a job that fails everywhere.
func TestSickWorkerIsAvoided(t *testing.T) {
	w := newWorld(t, 1)
	w.fleet(3)
	for i := range 3 {
		id := fmt.Sprintf("job%d", i)
		w.add(id, "plain", 1, tasks(1))
		w.step()
		a := w.starts[0]
		w.confirm()
		if a.Order.Worker.ID == "w00" {
			w.read("w00", nil, []backend.EndedTask{w.end("w00", a.Order.Task, a.Order.Run, backend.EndFailed)})
		}
	}
	sick := w.core.workers["w00"]
	sick.health = health{}
	for i := range suspectStreak {
		task := fmt.Sprintf("x%d.0.0.0", i)
		w.add(fmt.Sprintf("x%d", i), "plain", 1, tasks(1))
		w.read("w00", nil, []backend.EndedTask{w.end("w00", task, 1, backend.EndFailed)})
	}
	assert.Assert(t, sick.health.suspectUntil > w.now)

	// A job that fails on a second worker is at fault itself.
	w2 := newWorld(t, 1)
	w2.fleet(2)
	w2.add("bad", "plain", 1, tasks(1))
	w2.read("w00", nil, []backend.EndedTask{w2.end("w00", "bad.0.0.0", 1, backend.EndFailed)})
	assert.Equal(t, w2.core.workers["w00"].health.streak, 1)
	w2.read("w01", nil, []backend.EndedTask{w2.end("w01", "bad.0.0.0", 2, backend.EndFailed)})
	assert.Equal(t, w2.core.workers["w00"].health.streak, 0)
	assert.Equal(t, w2.core.workers["w01"].health.streak, 0)
}

// Guards against tasks that stand still on a worker that answers, and against moving those that progress.
func TestStalledTaskMoves(t *testing.T) {
	w := newWorld(t, 1)
	w.fleet(2)
	w.add("a", "plain", 1, tasks(2))
	w.step()
	running := w.confirm()
	began := w.now
	for len(w.stops) == 0 && w.now < began+5*time.Second {
		for id, list := range running {
			if list[0].Task == "a.0.0.1" {
				list[0].Percent++
			}
			w.read(id, list, nil)
		}
		w.run(100 * time.Millisecond)
	}
	assert.Equal(t, len(w.stops), 1)
	assert.Equal(t, w.stops[0].Order.Task, "a.0.0.0")
	assert.Assert(t, w.now-began >= stallAfter)
}
