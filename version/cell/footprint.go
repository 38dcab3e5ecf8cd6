package cell

import (
	"math"
	"unsafe"

	"github.com/lentiltide/lentiltide/model/job"
)

// The footprint of a job is the memory that its state may take, in bytes. It is an upper bound for jobs whose tasks all run; docs/CAPACITY.md
// has the sizes that were measured.
const (
	// jobFootprint is the part that does not depend on the job.
	jobFootprint = 1 << 10
	// stepFootprint is that of an open step with advice on maxAdviceWorkers workers, and adviceFootprint that of advice on one of further workers.
	stepFootprint   = 6 << 10
	adviceFootprint = 100
	// taskFootprint is that of a task of an open step and of its run.
	taskFootprint = 1 << 10
	// maxFootprint is the result for a job of any larger size, so that sums do not overflow.
	maxFootprint = math.MaxInt64 / 4
)

// recordFootprint returns the part that does not depend on the open occurrences.
func recordFootprint(r *job.Record) int64 {
	size := jobFootprint + int64(len(r.Spec.Payload)) + int64(len(r.Spec.Steps))*int64(unsafe.Sizeof(job.Step{}))
	for i := range r.Spec.Steps {
		s := &r.Spec.Steps[i]
		size += int64(len(s.DependsOn))*int64(unsafe.Sizeof(0)) + int64(len(s.RequiredLabel)+len(s.DataRack)+len(s.Image))
	}
	return size
}

// occurrenceFootprint returns the part of one open occurrence.
func occurrenceFootprint(spec *job.Spec) int64 {
	tasks := int64(spec.Tasks())
	if tasks > maxFootprint/taskFootprint {
		return maxFootprint
	}
	return int64(len(spec.Steps))*stepFootprint + tasks*taskFootprint
}

// footprint returns the memory of an admitted job: that of its open occurrences, and of one at least, so that the next one can be opened. A job
// that has ended takes none of the memory for the others.
func (j *jobState) footprint() int64 {
	if j.released {
		return 0
	}
	return j.recordSize + j.occurrenceSize*int64(max(1, len(j.occurrences))) + int64(j.extraAdvice)*adviceFootprint
}

// account updates the memory in use after a change of the open occurrences of a job.
func (c *Core) account(j *jobState) {
	size := j.footprint()
	c.admission.used += size - j.accounted
	j.accounted = size
}
