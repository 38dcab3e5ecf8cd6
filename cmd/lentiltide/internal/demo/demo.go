// Package demo runs the two example deployments in one process: stand-in platforms and workers, several instances of the
// scheduler, operators and callers, all over loopback TCP. One instance of each deployment is killed during the calls. The
// results are counted by the observers in the stand-in workers. All values live only as long as one run of the demo.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/history"
)

// Summary is the last line that the demo prints, as JSON.
type Summary struct {
	Intents       int `json:"intents"`
	TasksStarted  int `json:"tasks_started"`
	TasksFinished int `json:"tasks_finished"`
	DoubleRuns    int `json:"double_runs"`
	Overcommits   int `json:"overcommits"`
	// Lost counts confirmed tasks and answered calls that no worker finished, answered calls with a wrong answer, and
	// confirmed service tasks that were not running.
	Lost      int     `json:"lost"`
	WaitP50MS float64 `json:"wait_p50_ms"`
	WaitP99MS float64 `json:"wait_p99_ms"`
}

// ErrFaults is returned if the observers recorded a double run, an overcommit or lost work.
var ErrFaults = errors.New("the observers recorded double runs, overcommits or lost work")

// Options are the input and the output of the demo.
type Options struct {
	// Out receives the progress and the summary.
	Out io.Writer
	// Files has the deployments.
	Files fs.FS
	// History records what callers and workers observe; nil records nothing.
	History *history.Recorder
}

// Run runs the deployments in the given directories concurrently, prints their progress and finally the summary.
func Run(ctx context.Context, opts Options, dirs ...string) error {
	printer := &printer{out: opts.Out, startedAt: time.Now()}
	runs := make([]*deploymentRun, len(dirs))
	for i, dir := range dirs {
		d, err := loadDeployment(opts.Files, dir)
		if err != nil {
			return err
		}
		runs[i] = &deploymentRun{
			deployment: d, printer: printer, history: opts.History, answeredCalls: map[string]string{}, callErrors: map[string]string{},
		}
	}
	errs := make([]error, len(runs))
	var wg sync.WaitGroup
	for i, r := range runs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = r.run(ctx)
		}()
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return errors.Wrap(err, runs[i].deployment.Name)
		}
	}
	return printSummary(opts.Out, runs)
}

// printSummary prints the totals of all deployments. It returns ErrFaults if there was a fault.
func printSummary(out io.Writer, runs []*deploymentRun) error {
	var sum Summary
	waits := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, r := range runs {
		counts := r.cell.Observer.Counts()
		waits.Merge(r.cell.Observer.Waits())
		sum.Intents += len(r.intents)
		sum.TasksStarted += counts.TasksStarted
		sum.TasksFinished += counts.TasksFinished
		// No worker becomes unreachable in the demo, so a rerun of finished work is always a fault.
		sum.DoubleRuns += counts.DoubleRuns + counts.Reruns
		sum.Overcommits += counts.Overcommits
		sum.Lost += r.lost
	}
	sum.WaitP50MS = float64(waits.ValueAtQuantile(50)) / 1000
	sum.WaitP99MS = float64(waits.ValueAtQuantile(99)) / 1000
	line, err := json.Marshal(sum)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s\n", line)
	if sum.DoubleRuns+sum.Overcommits+sum.Lost > 0 {
		return ErrFaults
	}
	return nil
}

// printer writes the lines of several deployments, each line whole. mu protects writes to out.
type printer struct {
	mu        sync.Mutex
	out       io.Writer
	startedAt time.Time
}

func (p *printer) printLine(name, format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "%5.1fs %-12s  %s\n", time.Since(p.startedAt).Seconds(), name, fmt.Sprintf(format, args...))
}
