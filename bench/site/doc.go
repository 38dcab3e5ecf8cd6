// Package site simulates the leader of a cell at the size of a deployment, in virtual time: the decisions are those of
// version/cell, the workers, the placement policy and the table service are models, and the leader's processor is one of them, so that it
// can be full. Each call of the scheduler occupies it for a time that follows from what the call did, by the table in Costs. A
// run may have windows in which workers fail their runs or the store is slow, and losses of the leader, whose successor begins from what is
// stored. The arrivals, the durations and the failures follow from the seed alone.
package site
