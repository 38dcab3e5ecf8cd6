package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// callCounts counts calls by the last verdict that their callers received.
type callCounts struct {
	sent, ran, notRun, mayHaveRun int
}

func encode(in any) ([]byte, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode request")
	}
	return data, nil
}

func (r *deploymentRun) callCounts() callCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// sendCalls sends calls at the rates of the phases, without waiting for earlier answers, and returns when every call has
// been answered or has failed.
func (r *deploymentRun) sendCalls(ctx context.Context, target confirmedIntent) {
	var wg sync.WaitGroup
	n := 0
	for _, p := range r.deployment.Calls.Phases {
		r.printf("%s: %d calls of %s per second for %.1f s", p.Name, p.PerSecond, target.spec.Name, p.duration().Seconds())
		ticker := time.NewTicker(time.Second / time.Duration(p.PerSecond))
		for range int64(p.PerSecond) * p.DurationMS / 1000 {
			<-ticker.C
			n++
			payload := fmt.Sprintf("%s-%05d", target.spec.Name, n)
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.call(ctx, target, payload)
			}()
		}
		ticker.Stop()
	}
	wg.Wait()
}

func (r *deploymentRun) call(ctx context.Context, target confirmedIntent, payload string) {
	r.cell.Observer.RecordSubmission(payload, time.Now())
	r.mu.Lock()
	r.calls.sent++
	r.mu.Unlock()
	r.recordJob(payload, target.spec)
	call := r.recordCall(history.OperationSubmit, payload)
	reply, err := r.client.call(ctx, target.id, payload)
	r.recordAnswer(call, err, history.VerdictAccepted)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch verdict.Of(err) {
	case verdict.Ran:
		r.calls.ran++
		r.answeredCalls[payload] = ""
		if err == nil && reply.Answer != answerFor(payload) {
			r.answeredCalls[payload] = reply.Answer
		}
	case verdict.NotRun:
		r.calls.notRun++
		r.recordCallError(err)
	default:
		r.calls.mayHaveRun++
		r.recordCallError(err)
	}
}

// maxCallErrors limits the number of distinct call errors that are printed.
const maxCallErrors = 5

// recordCallError stores the message of an error for the report under its verdict and code. Callers hold r.mu.
func (r *deploymentRun) recordCallError(err error) {
	e := verdict.From(err)
	key := fmt.Sprintf("%s, %s", e.Verdict, e.Code)
	if _, ok := r.callErrors[key]; ok || len(r.callErrors) < maxCallErrors {
		r.callErrors[key] = e.Message
	}
}
