package node

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/request/recovery"
)

// The places of panics, as recorded.
const (
	placeWorker     = "worker_answer"
	placeTables     = "table_answer"
	placeAdvisor    = "advice_answer"
	placeMachines   = "machine_answer"
	placeDecoder    = "row_decoder"
	placeRelay      = "table_relay"
	placeWorkerCall = "delegated_call"
	placeConfig     = "config_read"
	placeBatch      = "call_batch"
	placeLeadership = "leadership"
	placeNode       = "node_loop"
)

// recoverBackends replaces the backends with ones whose calls return an error instead of a panic, since their answers are
// written by other programs.
func (o *Options) recoverBackends() {
	o.Workers = recoveringWorkers{o.Workers, o.Panics}
	o.Tables = recoveringTables{o.Tables, o.Panics}
	o.Advisor = recoveringAdvisor{o.Advisor, o.Panics}
	o.Decoder = recoveringDecoder{o.Decoder, o.Panics}
	if o.Machines != nil {
		o.Machines = recoveringMachines{o.Machines, o.Panics}
	}
}

// runAgain calls f until ctx ends, again after each panic.
func (n *Node) runAgain(ctx context.Context, f func(context.Context)) {
	for !n.opts.Panics.Run(placeNode, func() { f(ctx) }) {
		if !pause(ctx, storeRetryDelay) {
			return
		}
	}
}

type recoveringWorkers struct {
	next   backend.Workers
	panics *recovery.Recorder
}

var _ backend.Workers = recoveringWorkers{}

// Start implements backend.Workers.
func (w recoveringWorkers) Start(ctx context.Context, command backend.StartCommand) (backend.Reply, error) {
	return recovery.Call(w.panics, placeWorker, func() (backend.Reply, error) { return w.next.Start(ctx, command) })
}

// Stop implements backend.Workers.
func (w recoveringWorkers) Stop(ctx context.Context, command backend.Command) (backend.Reply, error) {
	return recovery.Call(w.panics, placeWorker, func() (backend.Reply, error) { return w.next.Stop(ctx, command) })
}

// Throttle implements backend.Workers.
func (w recoveringWorkers) Throttle(ctx context.Context, command backend.Command, percent int) (backend.Reply, error) {
	return recovery.Call(w.panics, placeWorker, func() (backend.Reply, error) { return w.next.Throttle(ctx, command, percent) })
}

// Poll implements backend.Workers.
func (w recoveringWorkers) Poll(ctx context.Context, req backend.PollRequest) (backend.PollReply, error) {
	return recovery.Call(w.panics, placeWorker, func() (backend.PollReply, error) { return w.next.Poll(ctx, req) })
}

type recoveringTables struct {
	next   backend.Tables
	panics *recovery.Recorder
}

var _ backend.Tables = recoveringTables{}

// Commit implements backend.Tables.
func (t recoveringTables) Commit(ctx context.Context, txn backend.Txn) (uint64, error) {
	return recovery.Call(t.panics, placeTables, func() (uint64, error) { return t.next.Commit(ctx, txn) })
}

// Range implements backend.Tables.
func (t recoveringTables) Range(ctx context.Context, table, shard, from string) (backend.Page, error) {
	return recovery.Call(t.panics, placeTables, func() (backend.Page, error) { return t.next.Range(ctx, table, shard, from) })
}

// Get implements backend.Tables.
func (t recoveringTables) Get(ctx context.Context, key backend.RowKey) (backend.Row, error) {
	return recovery.Call(t.panics, placeTables, func() (backend.Row, error) { return t.next.Get(ctx, key) })
}

// Feed implements backend.Tables.
func (t recoveringTables) Feed(ctx context.Context, table string, after uint64, wait time.Duration) (backend.Page, error) {
	return recovery.Call(t.panics, placeTables, func() (backend.Page, error) { return t.next.Feed(ctx, table, after, wait) })
}

type recoveringAdvisor struct {
	next   backend.Advisor
	panics *recovery.Recorder
}

// Advise implements backend.Advisor.
func (a recoveringAdvisor) Advise(ctx context.Context, step string, workers []string) (tickets []backend.Ticket, validity time.Duration, err error) {
	tickets, err = recovery.Call(a.panics, placeAdvisor, func() (good []backend.Ticket, err error) {
		good, validity, err = a.next.Advise(ctx, step, workers)
		return good, err
	})
	return tickets, validity, err
}

type recoveringMachines struct {
	next   backend.Machines
	panics *recovery.Recorder
}

// List implements backend.Machines.
func (m recoveringMachines) List(ctx context.Context) (backend.MachineList, error) {
	return recovery.Call(m.panics, placeMachines, func() (backend.MachineList, error) { return m.next.List(ctx) })
}

// Maintain implements backend.Machines.
func (m recoveringMachines) Maintain(ctx context.Context, leader backend.Leader, machine string, wave int) (backend.MachineRefusal, error) {
	return recovery.Call(m.panics, placeMachines, func() (backend.MachineRefusal, error) { return m.next.Maintain(ctx, leader, machine, wave) })
}

// recoveringDecoder treats a row whose decoding panics like any row that cannot be decoded.
type recoveringDecoder struct {
	next   backend.Decoder
	panics *recovery.Recorder
}

// Config implements backend.Decoder.
func (d recoveringDecoder) Config(row backend.Row) (job.Config, error) {
	return recovery.Call(d.panics, placeDecoder, func() (job.Config, error) { return d.next.Config(row) })
}

// Worker implements backend.Decoder.
func (d recoveringDecoder) Worker(row backend.Row) (backend.WorkerInfo, error) {
	return recovery.Call(d.panics, placeDecoder, func() (backend.WorkerInfo, error) { return d.next.Worker(row) })
}

// Wave implements backend.Decoder.
func (d recoveringDecoder) Wave(row backend.Row) (wave backend.MaintenanceWave, ok bool, err error) {
	wave, err = recovery.Call(d.panics, placeDecoder, func() (w backend.MaintenanceWave, err error) {
		w, ok, err = d.next.Wave(row)
		return w, err
	})
	return wave, ok && err == nil, err
}

// WaveStatus implements backend.Decoder.
func (d recoveringDecoder) WaveStatus(number int, completed bool) backend.Row {
	return d.next.WaveStatus(number, completed)
}

// IsWaveCompleted implements backend.Decoder.
func (d recoveringDecoder) IsWaveCompleted(row backend.Row) bool {
	completed, err := recovery.Call(d.panics, placeDecoder, func() (bool, error) { return d.next.IsWaveCompleted(row), nil })
	return completed && err == nil
}
