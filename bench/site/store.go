package site

import (
	"maps"
	"slices"

	"github.com/lentiltide/lentiltide/model/job"
	"github.com/lentiltide/lentiltide/version/cell"
)

// store holds the durable rows from which a new leader begins.
type store struct {
	// ids are the accepted jobs in the order in which their records were written.
	ids      []job.ID
	records  map[job.ID]job.Record
	progress map[job.ID][]byte
	// fleet are the rows of the record of the workers in use, by shard.
	fleet map[int][]byte
}

func newStore() *store {
	return &store{records: map[job.ID]job.Record{}, progress: map[job.ID][]byte{}, fleet: map[int][]byte{}}
}

// addJob writes the record of a job.
func (s *store) addJob(id job.ID, record job.Record) {
	s.ids = append(s.ids, id)
	s.records[id] = record
}

// write writes a batch.
func (s *store) write(b cell.Batch) {
	for _, p := range b.Progress {
		s.progress[p.Job] = p.Data
	}
	for _, id := range b.Removed {
		delete(s.progress, id)
	}
	for _, row := range b.Fleet {
		s.fleet[row.Shard] = row.Data
	}
}

// loadInto passes the rows to the scheduler of a new leader, in the order in which process/node does. The registry is read between the
// record of the workers in use and the jobs.
func (s *store) loadInto(core *cell.Core, readRegistry func(), now cell.Instant) error {
	var rows [][]byte
	for _, shard := range slices.Sorted(maps.Keys(s.fleet)) {
		rows = append(rows, s.fleet[shard])
	}
	if err := core.LoadFleetRecord(now, rows...); err != nil {
		return err
	}
	readRegistry()
	for _, id := range s.ids {
		progress := s.progress[id]
		if state, _ := cell.StoredState(progress); state != "" {
			core.AddFinishedJob(id, state, now)
			continue
		}
		if err := core.LoadJob(id, s.records[id], progress, now); err != nil {
			return err
		}
	}
	return nil
}
