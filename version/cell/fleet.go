package cell

import (
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/lentiltide/lentiltide/backend"
)

// The fleet record holds the workers in use. A worker is recorded before it is used, so that a new leader knows whose
// inventory it needs even if the registry has lost entries. A worker without a registry entry leaves the record when nothing
// is left on it that a new leader would have to know of.
//
// The record consists of FleetShards rows, so that no row reaches the size limit of the store, and a change of one worker
// writes one row. Each row is valid by itself: a leader that is lost between the writes of several rows has only used workers
// of those that were written.

const (
	// FleetShards is the number of rows of the fleet record. A row holds about 40 bytes for each of its workers.
	FleetShards = 64
	// maxFleetRows limits the rows of the fleet record in one batch, so that progress is not held up.
	maxFleetRows = 32
)

// fleetRow is a row of the fleet record.
type fleetRow struct {
	// addresses are the addresses of the workers by ID.
	addresses map[string]string
	// longLeases are the workers that may have longer leases than usual.
	longLeases map[string]bool
}

// fleetRowWithLeases is the durable form of a row with longLeases. That of a row without is the addresses by ID alone.
type fleetRowWithLeases struct {
	Workers    map[string]string `json:"workers"`
	LongLeases []string          `json:"long_leases"`
}

func newFleetRow() fleetRow {
	return fleetRow{addresses: map[string]string{}, longLeases: map[string]bool{}}
}

func (r fleetRow) encode() ([]byte, error) {
	if len(r.longLeases) == 0 {
		return json.Marshal(r.addresses)
	}
	return json.Marshal(fleetRowWithLeases{r.addresses, slices.Sorted(maps.Keys(r.longLeases))})
}

func decodeFleetRow(data []byte) (fleetRow, error) {
	row := newFleetRow()
	if len(data) == 0 || json.Unmarshal(data, &row.addresses) == nil {
		return row, nil
	}
	var stored fleetRowWithLeases
	if err := json.Unmarshal(data, &stored); err != nil {
		return row, errors.Wrap(err, "decode fleet record")
	}
	row.addresses = stored.Workers
	for _, id := range stored.LongLeases {
		row.longLeases[id] = true
	}
	return row, nil
}

// FleetRow is a row of the fleet record to be stored.
type FleetRow struct {
	Shard int
	Data  []byte

	workers fleetRow
}

// fleetShard returns the row of the fleet record that holds a worker.
func fleetShard(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % FleetShards)
}

// LoadFleetRecord loads the rows of the fleet record of the previous leader. Work that it may have started cannot start
// again until the inventory of every recorded worker has been read. If a row cannot be decoded, any worker may have been used.
func (c *Core) LoadFleetRecord(now Instant, rows ...[]byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = max(c.now, now)
	var unreadable error
	for _, data := range rows {
		row, err := decodeFleetRow(data)
		if err != nil {
			unreadable = err
			continue
		}
		c.loadFleetRow(row)
	}
	c.fleetRecordKnown, c.fleetLoadedAt = unreadable == nil, c.now
	return unreadable
}

func (c *Core) loadFleetRow(row fleetRow) {
	for id, address := range row.addresses {
		w := c.workers[id]
		if w == nil {
			w = c.addWorker(id)
			w.info = backend.WorkerInfo{ID: id, Address: address}
			w.unlistedAt = c.now
		}
		w.recordedAddress, w.recordedLongLeases = address, row.longLeases[id]
		if row.longLeases[id] {
			w.longLeasesUntil = c.epochStart + maxLocalDuration(c.maxLease()+lateCallAllowance)
		}
		c.inventoryPending[id] = struct{}{}
	}
}

// RewriteFleetRecord schedules a write of all rows of the fleet record, which were loaded from rows of another form.
func (c *Core) RewriteFleetRecord() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for shard := range FleetShards {
		c.changedFleetShards[shard] = struct{}{}
	}
	c.signalWake()
}

// FleetRecordStored reports whether no row of the fleet record waits to be written.
func (c *Core) FleetRecordStored() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.changedFleetShards) == 0 && c.fleetRowsInFlight == 0
}

// addWorker adds a worker of which only the ID is set.
func (c *Core) addWorker(id string) *worker {
	w := &worker{
		runs: map[runKey]*run{}, watchers: map[*step]struct{}{}, acksChanged: make(chan struct{}, 1), fleetShard: fleetShard(id),
	}
	w.info.ID = id
	c.workers[id] = w
	c.free.update(w)
	c.workerSetVersion++
	return w
}

// markFleetChanged schedules a write of the row of the fleet record that holds a worker.
func (c *Core) markFleetChanged(w *worker) { c.changedFleetShards[w.fleetShard] = struct{}{} }

// scheduleFleetRecord schedules a write of the fleet record if the worker's address is not recorded.
func (c *Core) scheduleFleetRecord(w *worker) {
	if c.isRecorded(w) {
		return
	}
	c.markFleetChanged(w)
	c.signalWake()
}

// isRecorded reports whether the worker is durably recorded under its current address, and with long leases if it has them, so that it
// may be used.
func (c *Core) isRecorded(w *worker) bool {
	return w.recordedAddress == w.info.Address && (w.recordedLongLeases || !c.hasLongLeases(w))
}

// addFleetRecord adds changed rows of the fleet record to a batch.
func (c *Core) addFleetRecord(b *Batch) {
	if len(c.changedFleetShards) == 0 {
		return
	}
	rows := map[int]fleetRow{}
	for shard := range c.changedFleetShards {
		if len(rows) == maxFleetRows {
			break
		}
		rows[shard] = newFleetRow()
		delete(c.changedFleetShards, shard)
	}
	for id, w := range c.workers {
		row, changed := rows[w.fleetShard]
		switch {
		case !changed:
		case c.inUse(w):
			row.addresses[id] = w.info.Address
			if c.hasLongLeases(w) {
				row.longLeases[id] = true
			}
		default:
			// Its entry may return before the batch is stored, and the worker must not be used then.
			w.recordedAddress = ""
		}
	}
	for shard, row := range rows {
		data, err := row.encode()
		if err != nil {
			panic(errors.Wrap(err, "encode fleet record"))
		}
		b.Fleet = append(b.Fleet, FleetRow{shard, data, row})
	}
	c.fleetRowsInFlight += len(b.Fleet)
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
			c.markFleetChanged(w)
		}
		if w.recordedLongLeases && !c.hasLongLeases(w) {
			w.recordedLongLeases = false
			c.markFleetChanged(w)
		}
	}
}

// handleFleetRecordStored records whether the rows of the fleet record in a batch are durable.
func (c *Core) handleFleetRecordStored(b Batch, stored bool) {
	if len(b.Fleet) == 0 {
		return
	}
	c.fleetRowsInFlight -= len(b.Fleet)
	rows := map[int]fleetRow{}
	for _, r := range b.Fleet {
		rows[r.Shard] = r.workers
		if !stored {
			c.changedFleetShards[r.Shard] = struct{}{}
		}
	}
	if !stored {
		return
	}
	for id, w := range c.workers {
		row, written := rows[w.fleetShard]
		if !written {
			continue
		}
		wasRecorded := c.isRecorded(w)
		w.recordedAddress, w.recordedLongLeases = row.addresses[id], row.longLeases[id]
		switch {
		case !w.listed:
		case !c.isRecorded(w):
			c.markFleetChanged(w)
		case !wasRecorded:
			c.ready.capacityFreed(w)
		}
	}
	c.signalWake()
}
