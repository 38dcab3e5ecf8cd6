package check

import "github.com/lentiltide/lentiltide/history"

// waveLimit: a maintenance begins while the maximum of machines of its wave is down for theirs.
func waveLimit(k *checker, r *result) {
	e := k.event.Wave
	s := k.waves[e.Wave]
	if e.Change != history.ChangeBegan || s == nil || s.maximum == 0 {
		return
	}
	r.tried++
	if !s.down[e.Machine] && len(s.down) >= s.maximum {
		k.broken(r, "too many machines of a wave are down", s.requested, k.now)
	}
}

// waveCompleted: a wave is reported as completed, and the maintenance of a machine that stays has not begun.
func waveCompleted(k *checker, r *result) {
	e := k.event.Wave
	s := k.waves[e.Wave]
	if e.Change != history.ChangeCompleted || s == nil {
		return
	}
	r.tried++
	if len(s.waiting) > 0 {
		k.broken(r, "a wave is reported as completed before each of its machines has begun", s.requested, k.now)
	}
}

// oneHolder: two holders request the maintenance of a machine with one fencing token.
func oneHolder(k *checker, r *result) {
	e := k.event.Wave
	s := k.waves[e.Wave]
	if e.Change != history.ChangeBegan || e.Token == 0 || s == nil {
		return
	}
	r.tried++
	if holder, ok := s.tokens[holderKey{e.Machine, e.Token}]; ok && holder != e.Holder {
		k.broken(r, "two holders use one fencing token", s.requested, k.now)
	}
}
