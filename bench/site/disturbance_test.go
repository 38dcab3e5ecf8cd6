package site

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// calmSite is a small cell with quick jobs and services that has room for all.
func calmSite() Site {
	site := Large().Scaled(0.1)
	site.Kinds = slices.DeleteFunc(site.Kinds, func(k Kind) bool { return k.Name == "fleet-audit" })
	return site
}

// Guards against a new leader of the simulation that lacks rows, so that jobs are lost, completed tasks run again or services stay away.
func TestJobsSurviveTheLossOfLeaders(t *testing.T) {
	site := calmSite()
	site.Disturbances.LeaderLosses = []time.Duration{5 * time.Second, 9 * time.Second}
	s := New(site, MeasuredCosts, seed)
	r := s.Run(12*time.Second, 10*time.Second)
	assert.Equal(t, r.Kinds["booking"].Unfinished, 0, "%s", r)
	tasks, completions := 0, 0
	for id, record := range s.store.records {
		for _, step := range record.Spec.Steps {
			if s.jobs[id].Kind == "booking" {
				tasks += step.Count
			}
		}
	}
	for _, w := range s.workers {
		completions += int(w.lastCompletion)
	}
	assert.Equal(t, completions, tasks)
	assert.Assert(t, len(r.Services) > 0)
	for _, s := range r.Services {
		assert.Check(t, s.HasRun && s.LongestAbsence < 3*time.Second, "%s", s)
	}
}

// Guards against failures of the simulation that spare running tasks, or go on after their window.
func TestWorkersFailInTheirWindowOnly(t *testing.T) {
	site := calmSite()
	window := Window{6 * time.Second, 8 * time.Second}
	site.Disturbances = Disturbances{Failures: window, FailingWorkers: 1}
	s := New(site, MeasuredCosts, seed)
	hadRun := map[string]bool{}
	s.after(warmUp+window.From-time.Millisecond, func() {
		for _, task := range s.services.order {
			hadRun[task.Name] = task.runs > 0
		}
	})
	checked := 0
	s.after(warmUp+window.From+maxTimeToFailure, func() {
		for _, task := range s.services.order {
			if hadRun[task.Name] {
				checked++
				assert.Check(t, task.since >= window.From, "%s still has its run", task.Name)
			}
		}
	})
	s.Run(20*time.Second, 5*time.Second)
	assert.Assert(t, checked > 0)
	for _, task := range s.services.order {
		assert.Check(t, task.runs == 1, "%s has %d runs", task.Name, task.runs)
		if hadRun[task.Name] {
			assert.Check(t, task.since < window.Until+maxTimeToFailure, "%s failed at %v", task.Name, task.since)
		}
	}
}

// Guards against a slow store that the simulation does not slow down, or that stays slow.
func TestSlowStoreDelaysWrites(t *testing.T) {
	site := calmSite()
	site.Disturbances = Disturbances{SlowStore: Window{time.Second, 2 * time.Second}, SlowStoreFactor: 10}
	s := New(site, MeasuredCosts, seed)
	for at, want := range map[time.Duration]time.Duration{0: storeDelay, time.Second: 10 * storeDelay, 2 * time.Second: storeDelay} {
		s.now = startTime + warmUp + at
		assert.Check(t, s.writeTime() == want, "at %v: %v", at, s.writeTime())
	}
}
