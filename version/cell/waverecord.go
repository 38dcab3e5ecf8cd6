package cell

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// The record of a wave holds how far the maintenance of its machines has got, so that a new leader neither repeats it nor exceeds the
// maximum of the wave. A request is recorded before it is sent, since its outcome may be unknown when the leader is lost.

// waveRecord is the durable record of a wave, as far as this leader knows it.
type waveRecord struct {
	// known means that the rows have been read. readAt is when that was last requested.
	known  bool
	readAt Instant
	// changed means that the record must be written.
	changed bool
	refusal rowRefusal
}

// waveRow is the durable form of the record: machines by name. It takes less space than the operator's request.
type waveRow struct {
	// Requested are the machines whose maintenance may have been requested.
	Requested []string `json:"requested,omitempty"`
	// Settled are the machines whose maintenance has begun or is not needed.
	Settled []string `json:"settled,omitempty"`
}

// WaveRow is the record of a wave to be stored.
type WaveRow struct {
	Wave int
	Data []byte

	phases map[*maintenance]maintenancePhase
}

// StoredWave is what the store holds of a wave.
type StoredWave struct {
	// Completed means that the wave was reported as completed.
	Completed bool
	// Record is the record of the wave; empty for none.
	Record []byte
}

// ReadWaveAction reads what the store holds of a wave. The outcome is passed to WaveRead.
type ReadWaveAction struct {
	Wave int
}

// waveReadInterval is the time between attempts to read the record of a wave.
const waveReadInterval = time.Second

// readWaveRecord requests the record of a wave.
func (c *Core) readWaveRecord(w *wave) {
	w.record.readAt = c.now
	c.actions = append(c.actions, &ReadWaveAction{w.spec.Number})
}

// readWaveRecords requests the records again that could not be read.
func (c *Core) readWaveRecords() {
	for _, w := range c.waves {
		if !w.record.known && c.now > w.record.readAt+waveReadInterval {
			c.readWaveRecord(w)
		}
	}
}

// WaveRead records what the store holds of a wave. After an error the record is read again.
func (c *Core) WaveRead(a *ReadWaveAction, stored StoredWave, err error, now Instant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	w := c.waves[a.Wave]
	if w == nil || w.record.known || err != nil {
		return
	}
	w.record.known = true
	if err := c.loadWave(w, stored); err != nil {
		c.logDecision("wave_record_unreadable", "", map[string]any{"wave": a.Wave, "error": err.Error()})
	}
	c.signalWake()
}

// loadWave applies what the store holds to a wave. Without a record that can be decoded, each maintenance is requested again, which has
// no effect on the machines that had theirs.
func (c *Core) loadWave(w *wave, stored StoredWave) error {
	if stored.Completed {
		w.reportedState = waveCompleted
		for _, m := range w.machines {
			m.recorded = maintenanceDown
			c.setPhase(w, m, maintenanceFinished)
		}
		return nil
	}
	if len(stored.Record) == 0 {
		return nil
	}
	var row waveRow
	if err := json.Unmarshal(stored.Record, &row); err != nil {
		return errors.Wrap(err, "decode the record of the wave")
	}
	c.loadPhase(w, row.Requested, maintenanceRequested)
	c.loadPhase(w, row.Settled, maintenanceDown)
	return nil
}

func (c *Core) loadPhase(w *wave, machines []string, p maintenancePhase) {
	for _, id := range machines {
		if m := w.machines[id]; m != nil {
			m.recorded = p
			c.setPhase(w, m, p)
		}
	}
}

// addWaveRecords adds the changed records of waves to a batch.
func (c *Core) addWaveRecords(b *Batch, limit int) {
	for _, w := range c.waves {
		if !w.record.changed || w.record.refusal.holds(c.now) || b.Rows() >= limit {
			continue
		}
		w.record.changed = false
		b.Waves = append(b.Waves, w.row())
	}
}

// row returns the record of the wave. The drained machines are recorded as requested.
func (w *wave) row() WaveRow {
	out := WaveRow{Wave: w.spec.Number, phases: map[*maintenance]maintenancePhase{}}
	var row waveRow
	for id, m := range w.machines {
		switch m.phase {
		case maintenanceDraining, maintenanceRequested:
			row.Requested = append(row.Requested, id)
			out.phases[m] = maintenanceRequested
		case maintenanceDown, maintenanceFinished:
			row.Settled = append(row.Settled, id)
			out.phases[m] = maintenanceDown
		}
	}
	slices.Sort(row.Requested)
	slices.Sort(row.Settled)
	data, err := json.Marshal(row)
	if err != nil {
		panic(errors.Wrap(err, "encode the record of a wave"))
	}
	out.Data = data
	return out
}

// handleWaveRecordsStored records whether the records of waves in a batch are durable.
func (c *Core) handleWaveRecordsStored(b Batch, stored bool) {
	for _, row := range b.Waves {
		w := c.waves[row.Wave]
		if !stored {
			w.record.changed = true
			continue
		}
		w.record.refusal = rowRefusal{}
		for m, p := range row.phases {
			m.recorded = max(m.recorded, p)
		}
	}
}
