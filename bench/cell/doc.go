// Package cell benchmarks the decisions of a cell's leader.
package cell
