// Package work measures the intent owner: claims, repeated offers, cancellation waves and gangs. The racks are simple
// stand-ins in memory.
package work
