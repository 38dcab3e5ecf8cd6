//go:build !race

package faultmatrix

// raceStride is 1 without the race detector: every cell runs.
const raceStride = 1
