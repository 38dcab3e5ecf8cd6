package check

// acknowledgements counts the cancellations of accepted jobs, and the listed completions, whose acknowledgement was waited for
// through a steady time, and those that had none then.
type acknowledgements struct {
	cancellations, missingCancellations int
	completions, missingCompletions     int
	// last are the last of those without.
	lastCancellation, lastCompletion []ref
}

// watchCancellation counts a cancellation when a steady time has passed.
func (k *checker) watchCancellation(j *jobState) {
	sent := j.cancelSent
	k.afterSteady(func() {
		if !j.accepted.known() {
			return
		}
		k.acks.cancellations++
		if !j.cancelAnswered {
			k.acks.missingCancellations++
			k.acks.lastCancellation = append(k.acks.lastCancellation, sent, k.now)
		}
	})
}

// watchCompletions counts the listed completions of a worker when a steady time has passed.
func (k *checker) watchCompletions(w *workerState, upTo uint64) {
	var listed []*completion
	for _, c := range w.pending {
		if c.number <= upTo && !c.watched {
			c.watched = true
			listed = append(listed, c)
		}
	}
	if len(listed) == 0 {
		return
	}
	k.afterSteady(func() {
		for _, c := range listed {
			if c.lost && !c.acknowledged {
				continue
			}
			k.acks.completions++
			if !c.acknowledged {
				k.acks.missingCompletions++
				k.acks.lastCompletion = append(k.acks.lastCompletion, c.ended, k.now)
			}
		}
	})
}

// afterSteady calls f at the end of the first acknowledgeTime from now in which nothing is disturbed.
func (k *checker) afterSteady(f func()) {
	k.repeat(acknowledgeTime, func() {
		if !k.calmSince(k.now.at - acknowledgeTime) {
			k.afterSteady(f)
			return
		}
		f()
	})
}

// cancellationsAcknowledged: a tenth of the cancellations, and two at least, may lack their acknowledgement.
func cancellationsAcknowledged(k *checker, r *result) {
	a := &k.acks
	r.tried += a.cancellations
	if a.missingCancellations >= fewestMissing && float64(a.missingCancellations) > missingCancellations*float64(a.cancellations) {
		k.broken(r, "over a tenth of the cancellations have no answer after a steady time", a.lastCancellation...)
	}
}

// completionsAcknowledged: a fifth of the listed completions may lack their acknowledgement.
func completionsAcknowledged(k *checker, r *result) {
	a := &k.acks
	r.tried += a.completions
	if float64(a.missingCompletions) > missingCompletions*float64(a.completions) {
		k.broken(r, "over a fifth of the listed completions are not acknowledged after a steady time", a.lastCompletion...)
	}
}
