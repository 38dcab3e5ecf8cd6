package rack

import (
	"math/bits"

	"github.com/lentiltide/lentiltide/model"
)

const (
	// indexLevels is the number of levels of free capacity in one dimension; a bit set of levels fits a uint64.
	indexLevels = 64
	// indexMinBits is the binary exponent of the smallest amount above level 0: 64 milli-cores or 64 MiB.
	indexMinBits = 6
)

// indexLevel maps an amount to a level, with four levels per power of two. Larger amounts never map to lower levels.
func indexLevel(v int64) int {
	if v < 1<<indexMinBits {
		return 0
	}
	n := bits.Len64(uint64(v)) - 1
	sub := int(v>>(n-2)) & 3
	return min((n-indexMinBits)*4+sub+1, indexLevels-1)
}

// indexRow holds the workers of one level of free CPU, by level of free memory. nonEmpty has a bit for each cell with
// workers.
type indexRow struct {
	cells    [indexLevels][]*workerState
	nonEmpty uint64
}

// freeIndex finds workers by free capacity without a scan of all workers. It holds the workers of one accelerator type
// that accept work, are not reserved and have a free slot. nonEmpty has a bit for each row with workers.
type freeIndex struct {
	rows     [indexLevels]*indexRow
	nonEmpty uint64
}

func (x *freeIndex) insert(w *workerState) {
	free := w.free()
	w.row, w.cell = indexLevel(free.CPUMilli), indexLevel(free.MemoryMiB)
	r := x.rows[w.row]
	if r == nil {
		r = &indexRow{}
		x.rows[w.row] = r
	}
	w.position = len(r.cells[w.cell])
	r.cells[w.cell] = append(r.cells[w.cell], w)
	r.nonEmpty |= 1 << w.cell
	x.nonEmpty |= 1 << w.row
	w.index = x
}

func (x *freeIndex) remove(w *workerState) {
	r := x.rows[w.row]
	cell := r.cells[w.cell]
	last := len(cell) - 1
	cell[w.position] = cell[last]
	cell[w.position].position = w.position
	cell[last] = nil
	r.cells[w.cell] = cell[:last]
	if last == 0 {
		r.nonEmpty &^= 1 << w.cell
		if r.nonEmpty == 0 {
			x.nonEmpty &^= 1 << w.row
		}
	}
	w.index = nil
}

// forEachFitting calls f for workers with enough free capacity for a demand, in order of their level of free CPU, lowest
// first, until f returns false. It passes at most perCell workers of one cell.
func (x *freeIndex) forEachFitting(demand model.Resources, perCell int, f func(w *workerState) bool) {
	firstRow, firstCell := indexLevel(demand.CPUMilli), indexLevel(demand.MemoryMiB)
	for rows := x.nonEmpty >> firstRow << firstRow; rows != 0; rows &= rows - 1 {
		r := x.rows[bits.TrailingZeros64(rows)]
		for cells := r.nonEmpty >> firstCell << firstCell; cells != 0; cells &= cells - 1 {
			found := 0
			for _, w := range r.cells[bits.TrailingZeros64(cells)] {
				if !demand.Fits(w.free()) {
					continue
				}
				if !f(w) {
					return
				}
				if found++; found == perCell {
					break
				}
			}
		}
	}
}
