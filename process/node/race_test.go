//go:build race

package node

import "runtime"

// init prevents a crash of the race detector of Go 1.26, which uses one race context for all timers of a synctest bubble. That
// is unsafe when timers run on several threads.
func init() { runtime.GOMAXPROCS(1) }
