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

// startOffice starts a cell whose calls answer with a multiple of their payload after a random time, and confirms a
// standing intent for calls.
func startOffice(t *testing.T, instances int, atMost time.Duration) (*cell.Cell, []*lentiltide.Instance, model.Intent) {
	t.Helper()
	var seeded sync.Mutex
	rng := rand.New(rand.NewPCG(11, 0))
	c, all := startCellWith(t, instances, func(task model.Task) standinworker.Behavior {
		seeded.Lock()
		defer seeded.Unlock()
		return standinworker.Behavior{
			RunTime: time.Duration(rng.Int64N(int64(atMost))), Answer: bytes.Repeat(task.Payload, 1+rng.IntN(2000)),
		}
	})
	// Calls without a ticket may be cut off when a partition moves to an instance that has just started.
	waitFor(t, func() bool {
		sum := 0
		for _, instance := range all {
			served := len(instance.Dump().Intents)
			if served == 0 {
				return false
			}
			sum += served
		}
		return sum == model.IntentPartitions
	})
	spec := audit(1)
	spec.Kind, spec.Name, spec.Each = model.KindCall, "hold", model.Resources{CPUMilli: 100, MemoryMiB: 64}
	spec.Idempotent = true
	var plan model.Plan
	eventually(t, func() error { return post(t, all[0], "/v1/plans", spec, &plan) })
	var in model.Intent
	eventually(t, func() error { return post(t, all[0], "/v1/plans/"+plan.ID+"/confirm", struct{}{}, &in) })
	return c, all, in
}

// call sends one call and checks that the answer belongs to it and is whole.
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

// get reads a whole answer.
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
func ownerOf(t *testing.T, all []*lentiltide.Instance, in model.Intent) int {
	t.Helper()
	for i, instance := range all {
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

func waitFor(t *testing.T, ready func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ready() {
			return poll.Success()
		}
		return poll.Continue("not yet")
	}, poll.WithTimeout(pollTimeout))
}

// TestEachCallerGetsItsAnswer guards against crossed, cut or lost answers of many callers on one account: any of eight
// instances is asked, answers are late and large, and all calls go to one owner over shared connections.
func TestEachCallerGetsItsAnswer(t *testing.T) {
	_, all, in := startOffice(t, 8, 20*time.Millisecond)
	var wg sync.WaitGroup
	for i, instance := range all {
		for caller := range 4 {
			wg.Go(func() {
				for n := range 5 {
					payload := fmt.Sprintf("lane %d-%d-%d;", i, caller, n)
					var err error
					// A call that certainly did not run is repeated, as a client does.
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

// TestAnswerCarriesItsDigest guards against an answer whose digest does not match, at the owner and at other instances.
func TestAnswerCarriesItsDigest(t *testing.T) {
	_, all, in := startOffice(t, 3, time.Millisecond)
	for _, instance := range all {
		resp, body := get(t, instance.URL()+"/v1/intents/"+in.ID)
		assert.Equal(t, resp.Header.Get(api.HeaderDigest), fmt.Sprintf("%016x", xxhash.Sum64(body)))
	}
}

// TestShutdownCutsOffNoCall guards against calls that are cut off by the graceful shutdown of the owner, or of the
// instance that forwards them. Each call is answered, or it certainly did not run.
func TestShutdownCutsOffNoCall(t *testing.T) {
	for name, stopped := range map[string]func(owner int) int{
		"owner":     func(owner int) int { return owner },
		"forwarder": func(owner int) int { return (owner + 1) % 3 },
	} {
		t.Run(name, func(t *testing.T) {
			c, all, in := startOffice(t, 3, 400*time.Millisecond)
			victim := all[stopped(ownerOf(t, all, in))]
			var wg sync.WaitGroup
			var answered, notRun atomic.Int64
			stop := make(chan struct{})
			end := sync.OnceFunc(func() { close(stop); wg.Wait() })
			defer end()
			for i, instance := range all {
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
									// Its caller is told to go elsewhere; the port may have another user soon.
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
			end()
			t.Logf("%d calls answered, %d certainly did not run", answered.Load(), notRun.Load())
			assert.Equal(t, c.Observer.Counts().DoubleRuns, 0)
		})
	}
}
