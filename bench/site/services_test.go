package site

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/model/job"
)

// Guards against a rule that is judged too early, in disturbed seconds, for a task that is away for a short time only, or not at all.
func TestRuleForServiceTasks(t *testing.T) {
	const lossAt = 20 * time.Second
	for name, c := range map[string]struct {
		endsAt, startsAt, want time.Duration
		neverRuns              bool
	}{
		"away in calm":            {endsAt: 5 * time.Second, startsAt: 15 * time.Second, want: 14 * time.Second},
		"back in time":            {endsAt: 5 * time.Second, startsAt: 13900 * time.Millisecond},
		"disturbed":               {endsAt: 15 * time.Second, startsAt: 27200 * time.Millisecond},
		"away after disturbances": {endsAt: 15 * time.Second, startsAt: 30 * time.Second, want: 27300 * time.Millisecond},
		"never ran":               {neverRuns: true, startsAt: 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			site := calmSite()
			site.Disturbances.LeaderLosses = []time.Duration{lossAt}
			s := New(site, MeasuredCosts, seed)
			k := s.kinds["repair-watch"]
			s.now = startTime + warmUp
			s.services.addJob("a", k, []job.Step{{Count: 1}})
			task := s.services.order[0]
			for at := time.Duration(0); at < 40*time.Second; at += serviceSampleInterval {
				s.now = startTime + warmUp + at
				switch {
				case at == 0 && !c.neverRuns:
					s.services.started(task.Name)
				case at == c.endsAt && !c.neverRuns:
					s.services.ended(task.Name)
				case task.runs == 0 && at >= c.startsAt:
					s.services.started(task.Name)
				}
				if task.runs == 0 {
					s.services.check(task)
				}
			}
			assert.Equal(t, task.BrokenAt, c.want)
			assert.Equal(t, task.BrokenWithSlotsAt, c.want)
			assert.Equal(t, task.LongestAbsence, c.startsAt-c.endsAt)
		})
	}
}
