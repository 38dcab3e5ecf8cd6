// Package model defines the value types that the other packages share: resources, intents, plans, tasks, start tokens and
// outcomes. Values have no owner and no lock; they are copied between shards and messages.
package model

// Resources is an amount of worker capacity, either a demand or a supply.
type Resources struct {
	// CPUMilli is processor time in thousandths of a core.
	CPUMilli int64 `json:"cpu_milli"`
	// MemoryMiB is memory in mebibytes.
	MemoryMiB int64 `json:"memory_mib"`
	// Accelerators is a number of whole accelerators of AcceleratorType.
	Accelerators int64 `json:"accelerators,omitempty"`
	// AcceleratorType names the accelerator model. A worker has accelerators of one type.
	AcceleratorType string `json:"accelerator_type,omitempty"`
	// Slots is the number of task slots. A task uses at least one.
	Slots int64 `json:"slots,omitempty"`
	// Connections is the number of client connections.
	Connections int64 `json:"connections,omitempty"`
}

// Add returns r plus o. The accelerator type of r is kept unless r has none.
func (r Resources) Add(o Resources) Resources {
	r.CPUMilli += o.CPUMilli
	r.MemoryMiB += o.MemoryMiB
	r.Accelerators += o.Accelerators
	r.Slots += o.Slots
	r.Connections += o.Connections
	if r.AcceleratorType == "" {
		r.AcceleratorType = o.AcceleratorType
	}
	return r
}

// Sub returns r minus o. Fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	r.CPUMilli -= o.CPUMilli
	r.MemoryMiB -= o.MemoryMiB
	r.Accelerators -= o.Accelerators
	r.Slots -= o.Slots
	r.Connections -= o.Connections
	return r
}

// Times returns n times the amounts of r.
func (r Resources) Times(n int) Resources {
	r.CPUMilli *= int64(n)
	r.MemoryMiB *= int64(n)
	r.Accelerators *= int64(n)
	r.Slots *= int64(n)
	r.Connections *= int64(n)
	return r
}

// Fits reports whether the demand r fits into the free capacity.
func (r Resources) Fits(free Resources) bool {
	if r.Accelerators > 0 && r.AcceleratorType != free.AcceleratorType {
		return false
	}
	return r.CPUMilli <= free.CPUMilli &&
		r.MemoryMiB <= free.MemoryMiB &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots &&
		r.Connections <= free.Connections
}

// IsZero reports whether no amount is set.
func (r Resources) IsZero() bool {
	return r.CPUMilli == 0 && r.MemoryMiB == 0 && r.Accelerators == 0 && r.Slots == 0 && r.Connections == 0
}

// Max returns the larger amount of each field. The accelerator type is that of r unless r has none.
func (r Resources) Max(other Resources) Resources {
	if r.AcceleratorType == "" {
		r.AcceleratorType = other.AcceleratorType
	}
	r.CPUMilli = max(r.CPUMilli, other.CPUMilli)
	r.MemoryMiB = max(r.MemoryMiB, other.MemoryMiB)
	r.Accelerators = max(r.Accelerators, other.Accelerators)
	r.Slots = max(r.Slots, other.Slots)
	r.Connections = max(r.Connections, other.Connections)
	return r
}

// Min returns the smaller amount of each field, with the accelerator type of r.
func (r Resources) Min(other Resources) Resources {
	r.CPUMilli = min(r.CPUMilli, other.CPUMilli)
	r.MemoryMiB = min(r.MemoryMiB, other.MemoryMiB)
	r.Accelerators = min(r.Accelerators, other.Accelerators)
	r.Slots = min(r.Slots, other.Slots)
	r.Connections = min(r.Connections, other.Connections)
	return r
}

// HasNegative reports whether any field is below zero.
func (r Resources) HasNegative() bool {
	return r.CPUMilli < 0 || r.MemoryMiB < 0 || r.Accelerators < 0 || r.Slots < 0 || r.Connections < 0
}

// DominantShare returns the largest fraction of total that r demands over all resources, from 0 to 1 for demands within total.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	raiseShare := func(amount, totalAmount int64) {
		if totalAmount > 0 {
			share = max(share, float64(amount)/float64(totalAmount))
		}
	}
	raiseShare(r.CPUMilli, total.CPUMilli)
	raiseShare(r.MemoryMiB, total.MemoryMiB)
	raiseShare(r.Accelerators, total.Accelerators)
	raiseShare(r.Slots, total.Slots)
	raiseShare(r.Connections, total.Connections)
	return share
}

// FitsLimit reports whether r is within a limit, of which a field of 0 means no limit. It compares processor time, memory and
// accelerators.
func (r Resources) FitsLimit(limit Resources) bool {
	within := func(amount, limit int64) bool { return limit <= 0 || amount <= limit }
	return within(r.CPUMilli, limit.CPUMilli) && within(r.MemoryMiB, limit.MemoryMiB) && within(r.Accelerators, limit.Accelerators)
}
