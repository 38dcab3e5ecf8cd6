package check

import (
	"time"

	"github.com/lentiltide/lentiltide/history"
)

// checker is the state of a cell as its history tells it, up to the present event. The sentences read it before the event is
// applied.
type checker struct {
	now     ref
	event   *history.Event
	jobs    map[string]*jobState
	workers map[string]*workerState
	calls   map[uint64]*call
	queues  map[string]*queueState
	configurations
	disturbances
	instances map[string]*instanceState
	waves     map[uint64]*waveState
	// trafficEnded is when callers stopped submitting jobs.
	trafficEnded ref
	timers       timers
	results      []*result
	byKind       map[history.Kind][]*result

	// What the present event is about: the call of an answer, the run of a start or an end.
	call *call
	run  *run
}

// queueState is the set of accepted jobs of a queue of which no task has started.
type queueState struct {
	notBegun map[*jobState]struct{}
}

// instanceState is a process of an instance.
type instanceState struct {
	// shown is the newest version of the configuration of which an effect was seen, and shownAt the answer.
	shown   uint64
	shownAt ref
}

// waveState is a wave of maintenance.
type waveState struct {
	requested ref
	maximum   int
	// waiting are machines whose maintenance has not begun, and down those whose maintenance has not ended.
	waiting, down map[string]bool
	// tokens are the holders that requested the maintenance of a machine.
	tokens map[holderKey]string
}

// holderKey is a machine and the fencing token of a command for it.
type holderKey struct {
	machine string
	token   uint64
}

func newChecker() *checker {
	k := &checker{
		jobs: map[string]*jobState{}, workers: map[string]*workerState{}, calls: map[uint64]*call{}, queues: map[string]*queueState{},
		disturbances: newDisturbances(), instances: map[string]*instanceState{}, waves: map[uint64]*waveState{},
		byKind: map[history.Kind][]*result{},
	}
	for i := range sentences {
		r := &result{sentence: &sentences[i]}
		k.results = append(k.results, r)
		for _, kind := range r.sentence.kinds {
			k.byKind[kind] = append(k.byKind[kind], r)
		}
	}
	return k
}

// observe checks and applies the event of a line.
func (k *checker) observe(line int, e *history.Event) {
	k.now.line, k.event = line, e
	k.timers.runUntil(e.At(), func(at time.Duration) { k.now.at = at })
	k.now.at, k.call, k.run = e.At(), nil, nil
	if !k.resolve() {
		return
	}
	for _, r := range k.byKind[e.Kind] {
		r.sentence.check(k, r)
	}
	k.apply()
}

// resolve finds what the event is about. It returns false if the event says nothing new.
func (k *checker) resolve() bool {
	switch e := k.event; e.Kind {
	case history.KindAnswer:
		k.call = k.calls[e.Answer.Number]
		return k.call != nil
	case history.KindStart:
		return k.resolveStart(e.Start)
	case history.KindEnd:
		w := k.worker(e.End.Worker, e.End.Boot)
		for _, r := range w.runs {
			if r.number == e.End.Run && r.task.key == keyOf(e.End.Task) && r.task.job.id == e.End.Task.Job {
				k.run = r
			}
		}
	}
	return true
}

func (k *checker) resolveStart(s *history.Start) bool {
	w := k.worker(s.Worker, s.Boot)
	t := k.job(s.Task.Job).task(keyOf(s.Task))
	for _, r := range t.runs {
		if r.number == s.Run && r.worker == w {
			return false
		}
	}
	k.run = &run{
		task: t, number: s.Run, worker: w, instance: s.Instance, late: s.Late, started: k.now,
		inTouch: k.inTouchSince(s.Instance, k.now.at),
	}
	return true
}

// job returns the state of a job, which is created if it is new.
func (k *checker) job(id string) *jobState {
	j := k.jobs[id]
	if j == nil {
		j = &jobState{id: id}
		k.jobs[id] = j
	}
	return j
}

// worker returns a worker. Another boot than the present one ends what runs there.
func (k *checker) worker(name string, boot int64) *workerState {
	w := k.workers[name]
	if w == nil {
		w = &workerState{info: history.Worker{Worker: name, Boot: boot}, up: true}
		k.workers[name] = w
	}
	if w.info.Boot != boot {
		w.clear(k.now.at)
		w.info.Boot, w.up, w.draining = boot, true, ref{}
	}
	return w
}

// queue returns the state of the queue of a job, or of a name.
func (k *checker) queue(name string) *queueState {
	q := k.queues[name]
	if q == nil {
		q = &queueState{notBegun: map[*jobState]struct{}{}}
		k.queues[name] = q
	}
	return q
}

func (k *checker) instance(name string) *instanceState {
	i := k.instances[name]
	if i == nil {
		i = &instanceState{}
		k.instances[name] = i
	}
	return i
}

// queueOf returns the queue of a job, empty if it is not known.
func queueOf(j *jobState) string {
	if j.spec == nil {
		return ""
	}
	return j.spec.Queue
}

// note marks completions as acknowledged.
func (k *checker) note(noted []*completion) {
	for _, c := range noted {
		if c.lost || c.noted.known() {
			continue
		}
		c.noted = k.now
		c.task.lastNoted = k.now
		for _, r := range k.results {
			if r.sentence.noted != nil {
				r.sentence.noted(k, r, c)
			}
		}
		c.startedAfter = nil
	}
}
