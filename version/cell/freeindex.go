package cell

const (
	// freeCPUResolution is the free processor time, in thousandths of a core, that workers in one bucket of a freeIndex differ by at most.
	freeCPUResolution = 500
	// freeBuckets is the number of buckets; the last one has the workers with more free processor time than the others tell apart.
	freeBuckets = 65
)

// freeIndex holds the workers by their free processor time, so that a step finds those with capacity without looking at the others.
type freeIndex struct {
	buckets [freeBuckets][]*worker
	// next is where the next search begins among the workers that may have capacity, so that several steps do not choose the same ones.
	next uint32
}

// freePosition is the place of a worker in a freeIndex.
type freePosition struct {
	indexed       bool
	bucket, index int
}

// bucketOf returns the bucket of a free processor time. A worker that has shrunk may have less than none.
func bucketOf(freeCPUMilli int64) int {
	return int(min(max(freeCPUMilli, 0)/freeCPUResolution, freeBuckets-1))
}

// update puts a worker into the bucket of its present free processor time.
func (x *freeIndex) update(w *worker) {
	bucket := bucketOf(w.freeCPUMilli())
	if w.freePosition.indexed && w.freePosition.bucket == bucket {
		return
	}
	x.remove(w)
	w.freePosition = freePosition{true, bucket, len(x.buckets[bucket])}
	x.buckets[bucket] = append(x.buckets[bucket], w)
}

// remove removes a worker.
func (x *freeIndex) remove(w *worker) {
	if !w.freePosition.indexed {
		return
	}
	bucket := x.buckets[w.freePosition.bucket]
	last := bucket[len(bucket)-1]
	bucket[w.freePosition.index] = last
	last.freePosition.index = w.freePosition.index
	bucket[len(bucket)-1] = nil
	x.buckets[w.freePosition.bucket] = bucket[:len(bucket)-1]
	w.freePosition = freePosition{}
}

// atLeast calls visit for the workers in the buckets of some free processor time and more, until it returns false. A worker in the first
// of them may have less. Each call begins at another worker.
func (x *freeIndex) atLeast(freeCPUMilli int64, visit func(w *worker) bool) {
	first := bucketOf(freeCPUMilli)
	total := 0
	for _, bucket := range x.buckets[first:] {
		total += len(bucket)
	}
	if total == 0 {
		return
	}
	x.next += searchStride
	offset := int(x.next % uint32(total))
	if x.visitRange(first, offset, total, visit) {
		x.visitRange(first, 0, offset, visit)
	}
}

// searchStride separates the places at which successive searches begin. It is a prime, so that they spread over any number of workers.
const searchStride = 7919

// visitRange calls visit for the workers from one position to another, counted from the first bucket, and reports whether each call returned
// true.
func (x *freeIndex) visitRange(first, from, to int, visit func(w *worker) bool) bool {
	position := 0
	for _, bucket := range x.buckets[first:] {
		begin, end := max(from-position, 0), min(to-position, len(bucket))
		for i := begin; i < end; i++ {
			if !visit(bucket[i]) {
				return false
			}
		}
		position += len(bucket)
	}
	return true
}
