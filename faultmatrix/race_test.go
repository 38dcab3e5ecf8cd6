//go:build race

package faultmatrix

import "runtime"

// cellStride is how many cells of the matrix the race detector skips between two that it runs.
const cellStride = 29

// init keeps the race detector of Go 1.26 from crashing: it uses one race context for all timers of a synctest bubble, which
// is not safe when timers run on several threads.
func init() { runtime.GOMAXPROCS(1) }
