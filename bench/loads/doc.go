// Package loads simulates the most demanding load patterns for the scheduler of a cell, in virtual time and without network.
// Each pattern runs with the scheduling of the product and with a naive one, in the same test run.
package loads
