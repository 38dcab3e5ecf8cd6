//go:build !race

package faultmatrix

// cellStride is the distance between the cells of the matrix that run: without the race detector every cell runs.
const cellStride = 1
