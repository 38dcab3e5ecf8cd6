package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// callCounts counts the calls by their last verdict, as the callers saw them.
type callCounts struct {
	sent, ran, notRun, unknown int
}

func encode(in any) ([]byte, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInternal, "encode request")
	}
	return data, nil
}

func (r *run) callCounts() callCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// sendCalls sends the calls at their rates, without waiting for answers in between, and returns when all are answered.
func (r *run) sendCalls(ctx context.Context, target confirmed) {
	var wg sync.WaitGroup
	n := 0
	for _, p := range r.deployment.Calls.Phases {
		r.say("%s: %d calls of %s per second for %.1f s", p.Name, p.PerSecond, target.spec.Name, p.duration().Seconds())
		ticker := time.NewTicker(time.Second / time.Duration(p.PerSecond))
		for range int64(p.PerSecond) * p.ForMS / 1000 {
			<-ticker.C
			n++
			order := fmt.Sprintf("%s-%05d", target.spec.Name, n)
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.call(ctx, target.id, order)
			}()
		}
		ticker.Stop()
	}
	wg.Wait()
}

func (r *run) call(ctx context.Context, id, order string) {
	r.cell.Observer.Submitted(order, time.Now())
	r.mu.Lock()
	r.calls.sent++
	r.mu.Unlock()
	reply, err := r.client.call(ctx, id, order)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch verdict.Of(err) {
	case verdict.Ran:
		r.calls.ran++
		r.answered[order] = ""
		if err == nil && reply.Answer != answerTo(order) {
			r.answered[order] = reply.Answer
		}
	case verdict.NotRun:
		r.calls.notRun++
		r.noteRefusal(err)
	default:
		r.calls.unknown++
		r.noteRefusal(err)
	}
}

// maxRefusals bounds the distinct errors of calls that are shown.
const maxRefusals = 5

// noteRefusal keeps an error for the report, by its code and verdict. Callers hold r.mu.
func (r *run) noteRefusal(err error) {
	e := verdict.From(err)
	key := fmt.Sprintf("%s, %s", e.Verdict, e.Code)
	if _, ok := r.refusals[key]; ok || len(r.refusals) < maxRefusals {
		r.refusals[key] = e.Message
	}
}
