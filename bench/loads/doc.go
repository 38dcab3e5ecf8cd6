// Package loads plays the loads that hurt most against the scheduler of a cell, in virtual time and without network: each
// pattern once with the order of the product and once in a naive order, in the same run.
package loads
