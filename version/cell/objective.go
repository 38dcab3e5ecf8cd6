package cell

import "time"

// objectiveDuration returns how long a job may take to be on time.
func objectiveDuration(j *jobState) time.Duration {
	steps := j.record.Spec.Steps
	pathMS := make([]float64, len(steps))
	longestMS := 0.0
	for i, s := range steps {
		predecessorMS := 0.0
		for _, p := range s.DependsOn {
			if p >= 0 && p < i {
				predecessorMS = max(predecessorMS, pathMS[p])
			}
		}
		pathMS[i] = predecessorMS + float64(s.EstimateMS)
		longestMS = max(longestMS, pathMS[i])
	}
	ms := max(j.queue.Stretch, 1)*longestMS + float64(j.queue.ObjectiveMS)
	return time.Duration(min(ms, maxObjectiveMS) * float64(time.Millisecond))
}

// maxObjectiveMS limits an objective to ten years, so that it fits into a time.Duration.
const maxObjectiveMS = 10 * 365 * 24 * 3600 * 1000
