//go:build race

package faultmatrix

import "runtime"

// cellStride is the distance between the cells of the matrix that run: with the race detector only every 29th runs.
const cellStride = 29

// init prevents a crash of the race detector of Go 1.26, which uses one race context for all timers of a synctest bubble. That
// is unsafe when timers run on several threads.
func init() { runtime.GOMAXPROCS(1) }
