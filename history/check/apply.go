package check

import (
	"slices"

	"github.com/lentiltide/lentiltide/history"
)

// apply changes the state by the present event.
func (k *checker) apply() {
	switch e := k.event; e.Kind {
	case history.KindCall:
		k.applyCall(e.Call)
	case history.KindAnswer:
		k.applyAnswer(e.Answer)
	case history.KindJob:
		if j := k.job(e.Job.ID); j.spec == nil {
			j.spec = e.Job
		}
	case history.KindStart:
		k.applyStart()
	case history.KindEnd:
		k.applyEnd(e.End)
	case history.KindListing:
		k.applyListing(e.Listing)
	case history.KindAcknowledgement:
		k.applyAcknowledgement(e.Acknowledgement)
	case history.KindWorker:
		k.applyWorker(e.Worker)
	case history.KindRegistry:
		k.applyRegistry(e.Registry)
	case history.KindInstance:
		// A start counts as a disturbance of the instance alone.
		named(k.byName, e.Instance.Instance).ended = k.now.at
		delete(k.instances, e.Instance.Instance)
	case history.KindConfiguration:
		k.configurations.apply(e.Configuration, k.now)
	case history.KindWave:
		k.applyWave(e.Wave)
	case history.KindFault:
		k.disturbances.apply(e.Fault, k.now.at)
	case history.KindTraffic:
		if e.Traffic.Change == history.ChangeEnd {
			k.applyTrafficEnd()
		}
	}
}

func (k *checker) applyCall(c *history.Call) {
	p := &call{Call: *c, sent: k.now}
	k.calls[c.Number] = p
	if c.Job == "" {
		return
	}
	p.job = k.job(c.Job)
	p.job.openCalls++
	switch c.Operation {
	case history.OperationSubmit:
		p.job.attempts++
		setOnce(&p.job.submitted, k.now)
	case history.OperationCancel:
		setOnce(&p.job.cancelSent, k.now)
		if q := queueOf(p.job); q != "" {
			delete(k.queue(q).notBegun, p.job)
		}
	}
}

// setOnce sets r to the first of its values.
func setOnce(r *ref, value ref) {
	if !r.known() {
		*r = value
	}
}

func (k *checker) applyAnswer(a *history.Answer) {
	c := k.call
	delete(k.calls, a.Number)
	if i := c.Instance; i != "" && a.Verdict != history.VerdictNoAnswer {
		k.showVersion(c, a)
	}
	j := c.job
	if j == nil {
		return
	}
	j.openCalls--
	k.recordOperation(c, a)
	switch a.Verdict {
	case history.VerdictAccepted:
		k.applyAcceptance(j)
	case history.VerdictRefused, history.VerdictNoQueue:
		if c.Operation == history.OperationSubmit {
			j.refused++
			j.lastRefusal = k.now
		}
	case history.VerdictCancelled:
		k.applyCancellation(j)
	case history.VerdictState:
		k.applyShownState(j, a.State)
	}
	k.applyFinalQuestion(c, a)
}

func (k *checker) applyAcceptance(j *jobState) {
	setOnce(&j.accepted, k.now)
	if q := queueOf(j); q != "" && !j.begun.known() && !j.cancelSent.known() && !j.final.known() {
		k.queue(q).notBegun[j] = struct{}{}
	}
}

func (k *checker) applyCancellation(j *jobState) {
	if j.cancelled.known() {
		return
	}
	j.cancelled = k.now
	k.timers.add(k.now.at+cancelTime+stopTime, func() { k.checkRunsAfterCancel(j) })
}

func (k *checker) applyShownState(j *jobState, s history.State) {
	if s == history.StateCompleted {
		setOnce(&j.completed, k.now)
	}
	if s.Final() && !j.final.known() {
		k.finalShown(j)
	}
}

// applyFinalQuestion records the answers to calls that ask for a job after the traffic.
func (k *checker) applyFinalQuestion(c *call, a *history.Answer) {
	if c.Operation != history.OperationState || !k.trafficEnded.known() || c.sent.at < k.trafficEnded.at+finishTime {
		return
	}
	c.job.askedLast = c.sent
	if a.Verdict == history.VerdictState {
		setOnce(&c.job.knownLast, k.now)
	} else {
		c.job.unknownLast = k.now
	}
}

func (k *checker) applyStart() {
	r, j := k.run, k.run.task.job
	setOnce(&j.begun, k.now)
	if q := queueOf(j); q != "" {
		delete(k.queue(q).notBegun, j)
	}
	j.openRuns++
	r.task.runs = append(r.task.runs, r)
	r.worker.runs = append(r.worker.runs, r)
	r.worker.used = add(r.worker.used, demandOf(r.task.step()), 1)
	if j.cancelled.known() {
		k.timers.add(k.now.at+contactTime+cancelTime+stopTime, func() { k.checkRunsAfterCancel(j) })
	}
}

func (k *checker) applyEnd(e *history.End) {
	w := k.worker(e.Worker, e.Boot)
	t := k.job(e.Task.Job).task(keyOf(e.Task))
	if r := k.run; r != nil {
		t.runs = remove(t.runs, r)
		w.runs = remove(w.runs, r)
		w.used = add(w.used, demandOf(t.step()), -1)
		t.ended = k.now.at
		t.job.ended(k.now.at)
	}
	if e.Result != history.ResultDone && e.Result != history.ResultFailed {
		return
	}
	c := &completion{task: t, number: e.Number, result: e.Result, ended: k.now}
	w.pending = append(w.pending, c)
	if e.Result == history.ResultFailed {
		t.failed = append(t.failed, c)
		t.failures++
		return
	}
	t.completed = append(t.completed, c)
	if !t.done {
		t.done = true
		t.job.countDone(t.key)
	}
}

// takePending removes the completions of a worker up to a number from those that were not acknowledged.
func (w *workerState) takePending(upTo uint64) []*completion {
	var taken, rest []*completion
	for _, c := range w.pending {
		if c.number <= upTo {
			taken = append(taken, c)
		} else {
			rest = append(rest, c)
		}
	}
	w.pending = rest
	return taken
}

// applyListing counts listed completions as acknowledged a little later, if nothing is disturbed until then.
func (k *checker) applyListing(l *history.Listing) {
	w := k.worker(l.Worker, l.Boot)
	var listed []*completion
	for _, c := range w.pending {
		if c.number <= l.UpTo && !c.listed {
			c.listed = k.calmSince(k.now.at)
			if c.listed {
				listed = append(listed, c)
			}
		}
	}
	if len(listed) == 0 {
		return
	}
	k.timers.add(k.now.at+noticeTime, func() {
		if k.calmSince(k.now.at) {
			k.note(listed)
			w.pending = slices.DeleteFunc(w.pending, func(c *completion) bool { return c.noted.known() })
			return
		}
		for _, c := range listed {
			c.listed = false
		}
	})
}

func (k *checker) applyAcknowledgement(a *history.Acknowledgement) {
	w := k.worker(a.Worker, a.Boot)
	taken := w.takePending(a.UpTo)
	if !a.Expired {
		k.note(taken)
		return
	}
	rest := w.pending
	w.pending = taken
	w.lose()
	w.pending = rest
}

func (k *checker) applyWorker(change *history.Worker) {
	w := k.worker(change.Worker, change.Boot)
	switch change.Change {
	case history.ChangeBoot:
		w.clear(k.now.at)
		w.info, w.described, w.up, w.draining, w.former = *change, true, true, ref{}, nil
	case history.ChangeCapacity:
		w.changeCapacity(change.Capacity, k.now.at)
	case history.ChangeCrash, history.ChangeGone:
		ended := w.clear(k.now.at)
		w.up = false
		if change.Change == history.ChangeGone {
			return
		}
		for _, r := range ended {
			r.task.crashes++
		}
		k.moment(change.Worker, k.now.at)
	case history.ChangeLeaseExpired:
		w.lose()
	}
}

func (k *checker) applyRegistry(r *history.Registry) {
	w := k.worker(r.Worker, r.Boot)
	switch {
	case r.Change == history.ChangeReady:
		w.draining = ref{}
	case r.Change == history.ChangeDraining && k.acknowledges(r.Instance):
		setOnce(&w.draining, k.now)
	}
}

// acknowledges reports whether an instance, or the store if that is empty, is in touch and can acknowledge a change.
func (k *checker) acknowledges(instance string) bool {
	if instance == "" {
		return k.store.undisturbedSince(k.now.at - contactTime)
	}
	return k.inTouchSince(instance, k.now.at)
}

func (k *checker) applyWave(w *history.Wave) {
	s := k.waves[w.Wave]
	if s == nil {
		s = &waveState{waiting: map[string]bool{}, down: map[string]bool{}, tokens: map[holderKey]string{}}
		k.waves[w.Wave] = s
	}
	switch w.Change {
	case history.ChangeRequested:
		s.requested, s.maximum = k.now, w.Maximum
		for _, m := range w.Machines {
			s.waiting[m] = true
		}
	case history.ChangeBegan:
		delete(s.waiting, w.Machine)
		s.down[w.Machine] = true
		s.tokens[holderKey{w.Machine, w.Token}] = w.Holder
	case history.ChangeEnded:
		delete(s.down, w.Machine)
	case history.ChangeGone:
		delete(s.waiting, w.Machine)
		delete(s.down, w.Machine)
	}
}

func (k *checker) applyTrafficEnd() {
	setOnce(&k.trafficEnded, k.now)
	k.timers.add(k.now.at+finishTime+idleTime, k.checkIdle)
}
