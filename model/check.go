package model

import (
	"unicode/utf8"

	"github.com/lentiltide/lentiltide/request/verdict"
)

// Limits on the values of an intent. They bound memory and keep sums far from overflow.
const (
	// MaxTasks bounds the tasks of one run.
	MaxTasks = 10_000
	// MaxNameBytes bounds account, team and intent names.
	MaxNameBytes = 128
	// MaxPayloadBytes bounds the payload of an intent or a call.
	MaxPayloadBytes = 64 << 10
	// MaxCPUMilli bounds the processor time of one task: 4,096 cores.
	MaxCPUMilli = 4_096_000
	// MaxMemoryMiB bounds the memory of one task: 64 TiB.
	MaxMemoryMiB = 64 << 20
	// MaxCount bounds accelerators, slots and connections of one task.
	MaxCount = 65_536
	// MaxRunTimeMS bounds declared run times: one year.
	MaxRunTimeMS = 365 * 24 * 3600 * 1000
	// MinPeriodMS bounds the period of a recurring intent from below: one second.
	MinPeriodMS = 1000
)

// Check returns an error that names the first wrong field, or nil.
func (s IntentSpec) Check() error {
	checks := []func() error{
		func() error { return checkName("account", s.Account) },
		func() error { return checkName("team", s.Team) },
		func() error { return checkName("name", s.Name) },
		s.checkKind,
		func() error { return checkRange("tasks", int64(s.Tasks), 1, MaxTasks) },
		func() error { return s.Each.Check("each") },
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
		return checkRange("every_ms", s.EveryMS, MinPeriodMS, MaxRunTimeMS)
	}
	if s.EveryMS != 0 {
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

// Check returns an error that names the first wrong field below path, or nil.
func (r Resources) Check(path string) error {
	fields := []struct {
		name  string
		value int64
		high  int64
	}{
		{"cpu_milli", r.CPUMilli, MaxCPUMilli},
		{"memory_mib", r.MemoryMiB, MaxMemoryMiB},
		{"accelerators", r.Accelerators, MaxCount},
		{"slots", r.Slots, MaxCount},
		{"connections", r.Connections, MaxCount},
	}
	for _, f := range fields {
		if err := checkRange(path+"."+f.name, f.value, 0, f.high); err != nil {
			return err
		}
	}
	if r.Accelerators > 0 && r.AcceleratorType == "" {
		return verdict.Invalid(path+".accelerator_type", "expected the type of the accelerators")
	}
	return nil
}

func checkName(field, value string) error {
	switch {
	case value == "":
		return verdict.Invalid(field, "must not be empty")
	case len(value) > MaxNameBytes:
		return verdict.Invalid(field, "expected at most %d bytes, got %d", MaxNameBytes, len(value))
	case !utf8.ValidString(value):
		return verdict.Invalid(field, "expected valid UTF-8")
	}
	return nil
}

func checkRange(field string, value, low, high int64) error {
	if value < low || value > high {
		return verdict.Invalid(field, "expected %d to %d, got %d", low, high, value)
	}
	return nil
}
