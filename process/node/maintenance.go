package node

import (
	"context"
	"time"

	"github.com/lentiltide/lentiltide/backend"
	"github.com/lentiltide/lentiltide/request/verdict"
	"github.com/lentiltide/lentiltide/version/cell"
)

// maintain requests a maintenance if this instance still leads. The machine service may not compare fencing tokens, so that
// the request of a leader that was suspended could follow one of its successor.
func (l *leadership) maintain(ctx context.Context, a *cell.MaintainAction) (backend.MachineRefusal, error) {
	row, err := l.node.tables.Get(ctx, leaderKey)
	if err != nil {
		return "", verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "confirm the leadership")
	}
	if row.Version != l.rowVersion {
		return backend.MachineFenced, nil
	}
	leader := backend.Leader{Instance: l.node.opts.Instance, FencingToken: l.epoch}
	return l.node.opts.Machines.Maintain(ctx, leader, a.Machine, a.Wave)
}

// reportWave writes the state of a wave for the operator, unless the wave was reported as completed. The write is conditional on the
// state before it, so that one without an answer, or one of a former leader, does not take effect after a later one.
func (l *leadership) reportWave(ctx context.Context, a *cell.WaveAction) error {
	decoder := l.node.opts.Decoder
	status := decoder.WaveStatus(a.Wave, a.Completed)
	reported, err := l.node.tables.Get(ctx, status.RowKey)
	if err != nil {
		return err
	}
	if !a.Completed && decoder.IsWaveCompleted(reported) {
		return nil
	}
	_, err = l.node.tables.Commit(ctx, backend.Txn{
		Expected: []backend.Row{{RowKey: status.RowKey, Version: reported.Version}}, Put: []backend.Row{status},
	})
	return err
}

// readWave reads what former leaders have stored of a wave.
func (l *leadership) readWave(ctx context.Context, number int) (cell.StoredWave, error) {
	decoder := l.node.opts.Decoder
	status, err := l.node.tables.Get(ctx, decoder.WaveStatus(number, true).RowKey)
	if err != nil {
		return cell.StoredWave{}, err
	}
	record, err := l.node.tables.Get(ctx, waveKey(number))
	if err != nil {
		return cell.StoredWave{}, err
	}
	return cell.StoredWave{Completed: decoder.IsWaveCompleted(status), Record: record.Value}, nil
}

// machinesInterval is the time between reads of the machine list while a maintenance wave is open.
const machinesInterval = 500 * time.Millisecond

// followMachines reads the list of machines periodically while a maintenance wave is open.
func (l *leadership) followMachines(ctx context.Context) {
	for pause(ctx, machinesInterval) {
		if l.node.opts.Machines == nil || !l.core.NeedsMachines() {
			continue
		}
		readAt := l.node.opts.Now()
		list, err := l.node.opts.Machines.List(ctx)
		if err != nil {
			l.node.opts.Log.WithError(err).WithField("event", "machines_unreadable").Warn("cannot read the list of machines")
			continue
		}
		if list.Unreadable != nil {
			l.node.opts.Log.WithError(list.Unreadable).WithField("event", "machine_ignored").Warn("the list has a machine that cannot be decoded")
		}
		l.core.SetMachines(list, readAt, l.node.opts.Now())
	}
}
