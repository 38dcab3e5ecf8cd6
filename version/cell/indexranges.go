package cell

import "slices"

// indexRanges is a set of indexes as ranges in ascending order, each with its first and its last index. It is not modified in place.
type indexRanges [][2]int

// contains reports whether an index is in the set.
func (r indexRanges) contains(index int) bool {
	_, ok := r.spanEnd(index)
	return ok
}

// spanEnd returns the last index of the range that contains an index. ok is false if none does.
func (r indexRanges) spanEnd(index int) (last int, ok bool) {
	i, found := r.search(index)
	if !found {
		i--
	}
	if i < 0 || index > r[i][1] {
		return 0, false
	}
	return r[i][1], true
}

// search returns the position of the range that begins at an index, or the position at which it would be.
func (r indexRanges) search(index int) (int, bool) {
	return slices.BinarySearchFunc(r, index, func(span [2]int, index int) int { return span[0] - index })
}

// with returns the set with an index.
func (r indexRanges) with(index int) indexRanges {
	if r.contains(index) {
		return r
	}
	i, _ := r.search(index)
	span := [2]int{index, index}
	first, last := i, i
	if i > 0 && r[i-1][1] == index-1 {
		first, span[0] = i-1, r[i-1][0]
	}
	if i < len(r) && r[i][0] == index+1 {
		last, span[1] = i+1, r[i][1]
	}
	out := append(slices.Clone(r[:first]), span)
	return append(out, r[last:]...)
}

// count returns the number of indexes.
func (r indexRanges) count() int {
	n := 0
	for _, span := range r {
		n += span[1] - span[0] + 1
	}
	return n
}

// last returns the highest index, or -1.
func (r indexRanges) last() int {
	if len(r) == 0 {
		return -1
	}
	return r[len(r)-1][1]
}
