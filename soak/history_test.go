package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/history"
	"github.com/lentiltide/lentiltide/history/check"
	"github.com/lentiltide/lentiltide/standin/backends"
	"github.com/lentiltide/lentiltide/standin/wire"
)

// historyFile is the name of the history among the logs of the nodes.
const historyFile = "history.jsonl"

// storeName is the name of the store at the far end of a link.
const storeName = "store"

// cellHistory records the history of a cluster in a file.
type cellHistory struct {
	*history.Recorder
	file *os.File
	// begin is when the history begins.
	begin time.Time

	mu sync.Mutex
	// described are the jobs that are recorded.
	described map[string]bool
	// boots are the boots of the workers that the registry has, by worker.
	boots map[string]int64
	// leaders are the instances that led, by epoch.
	leaders map[uint64]string
	// faults are the faults in progress, by what they are, each with its IDs, and faultNumber counts all.
	faults      map[history.Fault][]string
	faultNumber int
}

func newCellHistory(t *testing.T, dir string, begin time.Time) *cellHistory {
	file, err := os.Create(filepath.Join(dir, historyFile))
	assert.NilError(t, err)
	clock := func() time.Duration { return time.Since(begin) }
	return &cellHistory{
		Recorder: history.NewRecorder(file, clock, t.Name()), file: file, begin: begin,
		described: map[string]bool{}, boots: map[string]int64{}, leaders: map[uint64]string{}, faults: map[history.Fault][]string{},
	}
}

// checkHistory ends the history and fails the test if it breaks a sentence of the rules.
func (c *cluster) checkHistory() {
	assert.Check(c.t, c.history.Close())
	defer c.history.file.Close()
	_, err := c.history.file.Seek(0, 0)
	assert.Check(c.t, err)
	report, err := check.File(c.history.file)
	if err != nil {
		c.t.Errorf("check the history: %v", err)
		return
	}
	assert.Check(c.t, report.Incomplete == "", report.Incomplete)
	var notTried []string
	for _, s := range report.Sentences {
		if s.Verdict == check.NotTried {
			notTried = append(notTried, s.Name)
		}
		for _, b := range s.Breaks {
			c.t.Errorf("history, line %d: %s: %s", b.Line, s.Name, b.Detail)
		}
	}
	c.t.Logf("history: %d events, broken: %v, not tried: %q", report.Events, report.BrokenSentences(), notTried)
}

// operations are the operations of requests with a job, by HTTP method.
var operations = map[string]history.Operation{
	http.MethodPost: history.OperationSubmit, http.MethodGet: history.OperationState, http.MethodDelete: history.OperationCancel,
}

// recordCall records that a client sends a request and returns the call with its number.
func (h *cellHistory) recordCall(n *nodeProcess, method, target, body string) history.Call {
	prefix, id := path.Split(target)
	call := history.Call{Number: h.NextCall(), Operation: operations[method], Instance: n.name, Queue: wire.QueueName(prefix), Job: id}
	if id == "" {
		call.Operation = history.OperationWaiting
	}
	if call.Operation == history.OperationSubmit {
		h.recordJob(call, body)
	}
	h.Record(history.Event{Kind: history.KindCall, Observer: "client", Call: &call})
	return call
}

// recordJob records what clients submit with a call, once.
func (h *cellHistory) recordJob(call history.Call, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.described[call.Job] {
		return
	}
	h.described[call.Job] = true
	job, err := wire.HistoryJob(body, h.begin)
	if err != nil {
		// The body is not one of a job, which nobody accepts.
		return
	}
	job.ID, job.Queue = call.Job, call.Queue
	h.Record(history.Event{Kind: history.KindJob, Observer: "client", Job: &job})
}

// recordAnswer records the answer to a call, or that there was none if the status is 0.
func (h *cellHistory) recordAnswer(call history.Call, status int, body string) {
	answer := history.Answer{Number: call.Number, Verdict: history.VerdictNoAnswer}
	switch status {
	case http.StatusOK:
		var content struct {
			State   history.State
			Waiting int
		}
		if err := json.Unmarshal([]byte(body), &content); err != nil {
			content.State = history.State(body)
		}
		answer.State, answer.Waiting = content.State, content.Waiting
		answer.Verdict = map[history.Operation]history.Verdict{
			history.OperationSubmit: history.VerdictAccepted, history.OperationState: history.VerdictState,
			history.OperationCancel: history.VerdictCancelled, history.OperationWaiting: history.VerdictWaiting,
		}[call.Operation]
		if call.Operation != history.OperationState {
			answer.State = ""
		}
	case http.StatusGone:
		answer.Verdict = history.VerdictNotFound
	case http.StatusNotFound:
		answer.Verdict = history.VerdictNoQueue
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		answer.Verdict = history.VerdictRefused
	}
	h.Record(history.Event{Kind: history.KindAnswer, Observer: "client", Answer: &answer})
}

// recordConfig records a change of a version of the configuration with queues of some prefixes.
func (h *cellHistory) recordConfig(change history.Change, version uint64, prefixes []string) {
	event := &history.Configuration{Version: version, Change: change}
	if change == history.ChangeWritten {
		for _, prefix := range prefixes {
			event.Queues = append(event.Queues, history.Queue{Name: wire.QueueName(prefix), Service: testService, MaxAttempts: wire.MaxAttempts})
		}
	}
	h.Record(history.Event{Kind: history.KindConfiguration, Observer: "operator", Configuration: event})
}

// recordEntry records the registry entry of a worker.
func (h *cellHistory) recordEntry(info backend.WorkerInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.boots[info.ID] = info.StartedMS
	h.Record(backends.RegistryEvent(info))
}

// recordRemoval records that the registry entry of a worker is gone.
func (h *cellHistory) recordRemoval(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	event := backends.RegistryRemoval(id)
	event.Registry.Boot = h.boots[id]
	h.Record(event)
}

// recordInstance records the begin or the end of the process of a node.
func (h *cellHistory) recordInstance(name string, change history.Change) {
	h.Record(history.Event{Kind: history.KindInstance, Observer: "test", Instance: &history.Instance{Instance: name, Change: change}})
}

// recordTraffic records that clients begin or stop submitting jobs.
func (h *cellHistory) recordTraffic(change history.Change) {
	h.Record(history.Event{Kind: history.KindTraffic, Observer: "test", Traffic: &history.Traffic{Change: change}})
}

// beginFault records the begin of a fault; its ID and change are set here.
func (h *cellHistory) beginFault(fault history.Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faultNumber++
	event := fault
	event.ID, event.Change = fmt.Sprintf("soak-%d", h.faultNumber), history.ChangeBegin
	h.faults[fault] = append(h.faults[fault], event.ID)
	h.Record(history.Event{Kind: history.KindFault, Observer: "test", Fault: &event})
}

// endFaults records the end of the faults of some kinds of a target that are in progress; without kinds, of all.
func (h *cellHistory) endFaults(target history.TargetKind, name, peer string, kinds ...history.FaultKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for fault, ids := range h.faults {
		if fault.Target != target || fault.Name != name || fault.Peer != peer || len(kinds) > 0 && !slices.Contains(kinds, fault.Kind) {
			continue
		}
		delete(h.faults, fault)
		for _, id := range ids {
			event := fault
			event.ID, event.Change = id, history.ChangeEnd
			h.Record(history.Event{Kind: history.KindFault, Observer: "test", Fault: &event})
		}
	}
}

// signalFaults are the faults that signals to the process of a node begin.
var signalFaults = map[syscall.Signal]history.FaultKind{
	syscall.SIGKILL: history.FaultKill, syscall.SIGTERM: history.FaultTerminate, syscall.SIGSTOP: history.FaultFreeze,
}

// recordSignal records the fault that a signal to the process of a node begins, if it begins one.
func (h *cellHistory) recordSignal(name string, s syscall.Signal) {
	if kind, ok := signalFaults[s]; ok {
		h.beginFault(history.Fault{Kind: kind, Target: history.TargetInstance, Name: name})
	}
}

// recordLink records the fault of a link, or the end of its faults.
func (h *cellHistory) recordLink(name, peer string, f linkFault) {
	switch f {
	case linkHealthy:
		h.endFaults(history.TargetLink, name, peer)
	case linkDelayed:
		h.beginFault(history.Fault{Kind: history.FaultSlow, Target: history.TargetLink, Name: name, Peer: peer})
	case linkDropAnswers:
		h.beginFault(history.Fault{Kind: history.FaultAnswersLost, Target: history.TargetLink, Name: name, Peer: peer})
	default:
		h.beginFault(history.Fault{Kind: history.FaultCut, Target: history.TargetLink, Name: name, Peer: peer})
	}
}

// leaderOf returns the node that led in an epoch, which is the fencing token of its commands, or an empty string if that is not known.
func (c *cluster) leaderOf(epoch uint64) string {
	c.history.mu.Lock()
	defer c.history.mu.Unlock()
	if name, ok := c.history.leaders[epoch]; ok {
		return name
	}
	if now, name := c.leaderRow(); name != "" {
		c.history.leaders[now] = name
	}
	return c.history.leaders[epoch]
}
