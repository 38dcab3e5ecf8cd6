package lentiltide_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lentiltide/lentiltide"
	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/standin/cell"
	standinworker "github.com/lentiltide/lentiltide/standin/worker"
)

// startCallCell starts a cell whose calls answer with a repetition of their payload after a random time below maxRunTime,
// and confirms an intent for calls.
func startCallCell(t *testing.T, count int, maxRunTime time.Duration) (*cell.Cell, []*lentiltide.Instance, model.Intent) {
	t.Helper()
	var rngMu sync.Mutex
	rng := rand.New(rand.NewPCG(11, 0))
	c, instances := startCellWith(t, count, func(task model.Task) standinworker.Behavior {
		rngMu.Lock()
		defer rngMu.Unlock()
		return standinworker.Behavior{
			RunTime: time.Duration(rng.Int64N(int64(maxRunTime))), Answer: bytes.Repeat(task.Payload, 1+rng.IntN(2000)),
		}
	})
	// Wait until all partitions are served and each instance has some: calls without a ticket may be aborted when a partition
	// moves to an instance that has just started.
	waitFor(t, func() bool {
		sum := 0
		for _, instance := range instances {
			served := len(instance.Dump().Intents)
			if served == 0 {
				return false
			}
			sum += served
		}
		return sum == model.IntentPartitions
	})
	spec := auditSpec(1)
	spec.Kind, spec.Name, spec.TaskDemand = model.KindCall, "hold", model.Resources{CPUMilli: 100, MemoryMiB: 64}
	spec.Idempotent = true
	var plan model.Plan
	retryUntilSuccess(t, func() error { return post(t, instances[0], "/v1/plans", spec, &plan) })
	var in model.Intent
	retryUntilSuccess(t, func() error { return post(t, instances[0], "/v1/plans/"+plan.ID+"/confirm", struct{}{}, &in) })
	return c, instances, in
}

// call sends one call and checks that the answer consists of repetitions of its payload.
func call(url, intent, payload string) error {
	var reply api.CallReply
	body := fmt.Appendf(nil, `{"payload":%q}`, payload)
	_, err := jsonhttp.NewClient(url, http.DefaultTransport).Do(context.Background(), "POST", "/v1/intents/"+intent+"/calls", nil, body, &reply)
	if err != nil {
		return err
	}
	if n := len(reply.Answer) / len(payload); reply.Answer != string(bytes.Repeat([]byte(payload), n)) || n == 0 {
		return fmt.Errorf("call %q got the answer %.40q of %d bytes", payload, reply.Answer, len(reply.Answer))
	}
	return nil
}

// get sends a GET request and returns the response with its whole body.
func get(t *testing.T, url string) (*http.Response, []byte) {
	t.Helper()
	resp, err := http.Get(url)
	assert.NilError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp, body
}

// ownerOf returns the index of the instance that serves the partition of an intent.
func ownerOf(t *testing.T, instances []*lentiltide.Instance, in model.Intent) int {
	t.Helper()
	for i, instance := range instances {
		_, body := get(t, instance.URL()+"/v1/dump")
		var dump struct{ Intents []struct{ Partition int } }
		assert.NilError(t, json.Unmarshal(body, &dump))
		for _, p := range dump.Intents {
			if p.Partition == model.IntentPartition(in.Spec.Account, in.Spec.Team) {
				return i
			}
		}
	}
	t.Fatal("no instance serves the intent")
	return -1
}

// waitFor polls until ready returns true.
func waitFor(t *testing.T, ready func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ready() {
			return poll.Success()
		}
		return poll.Continue("the condition is not met yet")
	}, poll.WithTimeout(pollTimeout))
}

// TestEachCallerGetsItsAnswer guards against answers that are swapped, truncated or lost when many callers of one account
// use eight instances: answers are delayed and large, and all calls are forwarded to one owner over shared connections.
func TestEachCallerGetsItsAnswer(t *testing.T) {
	_, instances, in := startCallCell(t, 8, 20*time.Millisecond)
	var wg sync.WaitGroup
	for i, instance := range instances {
		for caller := range 4 {
			wg.Go(func() {
				for n := range 5 {
					payload := fmt.Sprintf("lane %d-%d-%d;", i, caller, n)
					var err error
					// A call that did not run is repeated, as a client does.
					for range 50 {
						if err = call(instance.URL(), in.ID, payload); verdict.Of(err) != verdict.NotRun {
							break
						}
						time.Sleep(verdict.From(err).RetryAfter)
					}
					if err != nil {
						t.Error(err)
					}
				}
			})
		}
	}
	wg.Wait()
}

// TestAnswerCarriesItsDigest guards against a response whose digest header does not match its body, both at the owner and at
// instances that forward the request.
func TestAnswerCarriesItsDigest(t *testing.T) {
	_, instances, in := startCallCell(t, 3, time.Millisecond)
	for _, instance := range instances {
		resp, body := get(t, instance.URL()+"/v1/intents/"+in.ID)
		assert.Equal(t, resp.Header.Get(api.HeaderDigest), fmt.Sprintf("%016x", xxhash.Sum64(body)))
	}
}

// TestShutdownCutsOffNoCall guards against calls that are aborted by the graceful shutdown of the owner, or of the instance
// that forwards them. Each call must be answered or fail with verdict NotRun.
func TestShutdownCutsOffNoCall(t *testing.T) {
	for name, victimOf := range map[string]func(owner int) int{
		"owner":     func(owner int) int { return owner },
		"forwarder": func(owner int) int { return (owner + 1) % 3 },
	} {
		t.Run(name, func(t *testing.T) {
			c, instances, in := startCallCell(t, 3, 400*time.Millisecond)
			victim := instances[victimOf(ownerOf(t, instances, in))]
			var wg sync.WaitGroup
			var answered, notRun atomic.Int64
			stop := make(chan struct{})
			stopCallers := sync.OnceFunc(func() { close(stop); wg.Wait() })
			defer stopCallers()
			for i, instance := range instances {
				for caller := range 3 {
					wg.Go(func() {
						for n := 0; ; n++ {
							select {
							case <-stop:
								return
							default:
							}
							err := call(instance.URL(), in.ID, fmt.Sprintf("lane %d-%d-%d;", i, caller, n))
							switch {
							case err == nil:
								answered.Add(1)
							case verdict.Of(err) == verdict.NotRun:
								notRun.Add(1)
								if instance == victim {
									// The caller must use another instance; another process may soon listen on the port.
									return
								}
								time.Sleep(verdict.From(err).RetryAfter)
							default:
								t.Errorf("call at instance %d: %v", i, err)
							}
						}
					})
				}
			}
			time.Sleep(500 * time.Millisecond)
			before := answered.Load()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			assert.NilError(t, victim.Shutdown(ctx))
			waitFor(t, func() bool { return answered.Load() > before+20 })
			stopCallers()
			t.Logf("%d calls answered, %d did not run", answered.Load(), notRun.Load())
			assert.Equal(t, c.Observer.Counts().DoubleRuns, 0)
		})
	}
}
