package model

import (
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// Limits on the values of an intent. They limit memory use and keep sums far from integer overflow.
const (
	// MaxTasks limits the tasks of one run.
	MaxTasks = 10_000
	// MaxNameBytes limits account, team and intent names.
	MaxNameBytes = 128
	// MaxPayloadBytes limits the payload of an intent or a call.
	MaxPayloadBytes = 64 << 10
	// MaxCPUMilli limits the processor demand of one task: 4,096 cores.
	MaxCPUMilli = 4_096_000
	// MaxMemoryMiB limits the memory of one task: 64 TiB.
	MaxMemoryMiB = 64 << 20
	// MaxCount limits the accelerators, the slots and the connections of one task.
	MaxCount = 65_536
	// MaxRunTimeMS limits declared run times and the period of recurring intents: one year.
	MaxRunTimeMS = 365 * 24 * 3600 * 1000
	// MinPeriodMS is the shortest period of a recurring intent: one second.
	MinPeriodMS = 1000
)

// Check returns an error that names the first invalid field, or nil.
func (s IntentSpec) Check() error {
	checks := []func() error{
		func() error { return checkName("account", s.Account) },
		func() error { return checkName("team", s.Team) },
		func() error { return checkName("name", s.Name) },
		s.checkKind,
		func() error { return checkRange("tasks", int64(s.Tasks), 1, MaxTasks) },
		func() error { return s.TaskDemand.Check("each") },
		func() error { return checkRange("run_time_ms", s.RunTimeMS, 0, MaxRunTimeMS) },
		s.checkPeriod,
		s.checkPayload,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s IntentSpec) checkKind() error {
	if !s.Kind.Valid() {
		return verdict.Invalid("kind", "expected service, batch, gang, call, recurring or watcher, got %q", s.Kind)
	}
	return nil
}

func (s IntentSpec) checkPeriod() error {
	if s.Kind == KindRecurring {
		return checkRange("every_ms", s.PeriodMS, MinPeriodMS, MaxRunTimeMS)
	}
	if s.PeriodMS != 0 {
		return verdict.Invalid("every_ms", "only intents of kind %q have a period", KindRecurring)
	}
	return nil
}

func (s IntentSpec) checkPayload() error {
	if len(s.Payload) > MaxPayloadBytes {
		return verdict.Invalid("payload", "expected at most %d bytes, got %d", MaxPayloadBytes, len(s.Payload))
	}
	return nil
}

// Check returns an error that names the first invalid field below path, or nil.
func (r Resources) Check(path string) error {
	fields := []struct {
		name    string
		value   int64
		maximum int64
	}{
		{"cpu_milli", r.CPUMilli, MaxCPUMilli},
		{"memory_mib", r.MemoryMiB, MaxMemoryMiB},
		{"accelerators", r.Accelerators, MaxCount},
		{"slots", r.Slots, MaxCount},
		{"connections", r.Connections, MaxCount},
	}
	for _, f := range fields {
		if err := checkRange(path+"."+f.name, f.value, 0, f.maximum); err != nil {
			return err
		}
	}
	return r.checkAccelerators(path)
}

func (r Resources) checkAccelerators(path string) error {
	switch {
	case r.Accelerators > 0 && r.AcceleratorType == "":
		return verdict.Invalid(path+".accelerator_type", "expected the type of the %d accelerators", r.Accelerators)
	case r.Accelerators == 0 && r.AcceleratorType != "":
		return verdict.Invalid(path+".accelerators", "expected 1 to %d of type %q, got 0", MaxCount, r.AcceleratorType)
	case r.AcceleratorType == "":
		return nil
	}
	return checkName(path+".accelerator_type", r.AcceleratorType)
}

// CheckAt returns an error if a deadline is set and not after now, otherwise nil.
func (s IntentSpec) CheckAt(now time.Time) error {
	if !s.Deadline.IsZero() && !s.Deadline.After(now) {
		return verdict.Invalid("deadline", "expected a time after %s, got %s", now.UTC().Format(time.RFC3339), s.Deadline.UTC().Format(time.RFC3339))
	}
	return nil
}

// CopiesThatFit returns how many tasks with demand r fit into the supply together. A task uses at least one slot.
func (r Resources) CopiesThatFit(supply Resources) int64 {
	r.Slots = max(r.Slots, 1)
	if !r.Fits(supply) {
		return 0
	}
	copies := supply.Slots / r.Slots
	limitBy := func(demand, available int64) {
		if demand > 0 {
			copies = min(copies, available/demand)
		}
	}
	limitBy(r.CPUMilli, supply.CPUMilli)
	limitBy(r.MemoryMiB, supply.MemoryMiB)
	limitBy(r.Accelerators, supply.Accelerators)
	limitBy(r.Connections, supply.Connections)
	return copies
}

func checkName(field, value string) error {
	switch {
	case value == "":
		return verdict.Invalid(field, "must not be empty")
	case len(value) > MaxNameBytes:
		return verdict.Invalid(field, "expected at most %d bytes, got %d", MaxNameBytes, len(value))
	case !utf8.ValidString(value):
		return verdict.Invalid(field, "expected valid UTF-8")
	case strings.TrimSpace(value) != value:
		return verdict.Invalid(field, "expected no space at the start or end")
	case strings.ContainsFunc(value, unicode.IsControl):
		return verdict.Invalid(field, "expected no control characters")
	}
	return nil
}

func checkRange(field string, value, minimum, maximum int64) error {
	if value < minimum || value > maximum {
		return verdict.Invalid(field, "expected %d to %d, got %d", minimum, maximum, value)
	}
	return nil
}
