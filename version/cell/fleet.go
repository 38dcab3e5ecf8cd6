package cell

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/backend"
)

// The fleet record holds the workers in use. A worker is recorded before it is used, so that a new leader knows whose
// inventory it needs even if the registry has lost entries. A worker without a registry entry leaves the record when nothing
// is left on it that a new leader would have to know of.

// missingWorkerTimeout is how long after the rows were read a recorded worker may be missing from the registry before
// it is considered gone. Entries that expired during an outage of the store return sooner.
const missingWorkerTimeout = 2500 * time.Millisecond

// fleetRow is the durable form of the fleet record: worker addresses by ID.
type fleetRow map[string]string

// LoadFleetRecord loads the fleet record of the previous leader. Work that it may have started cannot start again until
// the inventory of every recorded worker has been read.
func (c *Core) LoadFleetRecord(data []byte, now Instant) error {
	row := fleetRow{}
	if len(data) > 0 {
		if err := json.Unmarshal(data, &row); err != nil {
			return errors.Wrap(err, "decode fleet record")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	c.fleetLoadedAt = c.now
	c.fleetRecordKnown = true
	for id, address := range row {
		w := c.workers[id]
		if w == nil {
			w = c.addWorker(id)
			w.info = backend.WorkerInfo{ID: id, Address: address}
			w.unlistedAt = c.now
		}
		w.recordedAddress = address
		c.inventoryPending[id] = struct{}{}
	}
	return nil
}

// addWorker adds a worker of which only the ID is set.
func (c *Core) addWorker(id string) *worker {
	w := &worker{runs: map[runKey]*run{}, watchers: map[*step]struct{}{}, acksChanged: make(chan struct{}, 1)}
	w.info.ID = id
	c.workers[id] = w
	return w
}

// scheduleFleetRecord schedules a write of the fleet record if the worker's address is not recorded.
func (c *Core) scheduleFleetRecord(w *worker) {
	if w.recordedAddress == w.info.Address {
		return
	}
	c.fleetChanged = true
	c.signalWake()
}

// isRecorded reports whether the worker is durably recorded under its current address, so that it may be used.
func (w *worker) isRecorded() bool { return w.recordedAddress == w.info.Address }

// addFleetRecord adds the fleet record to a batch if it has changed.
func (c *Core) addFleetRecord(b *Batch) {
	if !c.fleetChanged {
		return
	}
	c.fleetChanged = false
	b.fleet = c.fleetRecord()
	for id, w := range c.workers {
		if _, recorded := b.fleet[id]; !recorded {
			// Its entry may return before the batch is stored, and the worker must not be used then.
			w.recordedAddress = ""
		}
	}
	data, err := json.Marshal(b.fleet)
	if err != nil {
		panic(errors.Wrap(err, "encode fleet record"))
	}
	b.Fleet = data
}

// fleetRecord returns the record of the workers in use.
func (c *Core) fleetRecord() fleetRow {
	row := fleetRow{}
	for id, w := range c.workers {
		if c.inUse(w) {
			row[id] = w.info.Address
		}
	}
	return row
}

// inUse reports whether tasks may start or run on a worker, or completions that are not durable may be listed there.
func (c *Core) inUse(w *worker) bool {
	if w.listed {
		return true
	}
	if len(w.runs) > 0 || w.lastReadCompletion > w.lastAckedCompletion {
		return true
	}
	return c.now <= c.leasesEnd(w) && (!w.inventoryKnown || w.hasUnknownRuns)
}

// removeUnusedFromRecord schedules a write of the fleet record without the workers that are not in use any longer.
func (c *Core) removeUnusedFromRecord() {
	for _, w := range c.workers {
		if w.recordedAddress != "" && !c.inUse(w) {
			// The worker is recorded again before it is used if its entry returns.
			w.recordedAddress = ""
			c.fleetChanged = true
		}
	}
}

// handleFleetRecordStored records whether the fleet record of a batch is durable.
func (c *Core) handleFleetRecordStored(b Batch, stored bool) {
	if b.Fleet == nil {
		return
	}
	if !stored {
		c.fleetChanged = true
		return
	}
	for id, w := range c.workers {
		w.recordedAddress = b.fleet[id]
		c.fleetChanged = c.fleetChanged || (w.listed && !w.isRecorded())
	}
	c.signalWake()
}

// expireMissingWorkers stops waiting for recorded workers that are neither listed nor reachable.
func (c *Core) expireMissingWorkers() {
	if c.now < c.fleetLoadedAt+missingWorkerTimeout {
		return
	}
	for id := range c.inventoryPending {
		w := c.workers[id]
		if w == nil || w.listed || w.inventoryKnown {
			continue
		}
		delete(c.inventoryPending, id)
		w.ended = true
		c.logDecision("worker_gone", "", map[string]any{"worker": id, "since_load_ms": (c.now - c.fleetLoadedAt).Milliseconds()})
	}
}
