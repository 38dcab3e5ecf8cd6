package model

import "fmt"

// Class is the scheduling class of a task. A lower value is served first.
type Class uint8

// The scheduling classes.
const (
	// ClassUrgent is for work that must start within the start bound for urgent tasks.
	ClassUrgent Class = iota
	// ClassShort is for short calls: bookings, holds, returns.
	ClassShort
	// ClassService is for long-running services.
	ClassService
	// ClassBatch is for batch work and gangs.
	ClassBatch
	// ClassLong is for audits and watchers, which run many times longer than all other work.
	ClassLong
	// NumClasses is the number of classes.
	NumClasses
)

var classNames = [NumClasses]string{"urgent", "short", "service", "batch", "long"}

// String returns the name of the class as used in intents and settings.
func (c Class) String() string {
	if c >= NumClasses {
		return fmt.Sprintf("class(%d)", uint8(c))
	}
	return classNames[c]
}

// MarshalText implements encoding.TextMarshaler.
func (c Class) MarshalText() ([]byte, error) {
	if c >= NumClasses {
		return nil, fmt.Errorf("unknown class %d", uint8(c))
	}
	return []byte(classNames[c]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (c *Class) UnmarshalText(text []byte) error {
	for i, name := range classNames {
		if name == string(text) {
			*c = Class(i)
			return nil
		}
	}
	return fmt.Errorf("unknown class %q, expected one of %v", text, classNames)
}

// Kind is the kind of work that an intent describes.
type Kind string

// The kinds of work.
const (
	// KindService is a group of long-running tasks; a task that ends is started again.
	KindService Kind = "service"
	// KindBatch is a group of independent tasks, each of which must finish once.
	KindBatch Kind = "batch"
	// KindGang is a group of tasks that must all start together.
	KindGang Kind = "gang"
	// KindCall is a template for short calls.
	KindCall Kind = "call"
	// KindRecurring is a batch that is run again on a schedule.
	KindRecurring Kind = "recurring"
	// KindWatcher is a long task that is started again when it ends.
	KindWatcher Kind = "watcher"
)

// DefaultClass returns the class of an intent of this kind that sets none.
func (k Kind) DefaultClass() Class {
	switch k {
	case KindCall:
		return ClassShort
	case KindService:
		return ClassService
	case KindWatcher:
		return ClassLong
	default:
		return ClassBatch
	}
}

// Valid reports whether k is a known kind.
func (k Kind) Valid() bool {
	switch k {
	case KindService, KindBatch, KindGang, KindCall, KindRecurring, KindWatcher:
		return true
	}
	return false
}

// Restarts reports whether a task of this kind is started again when it ends.
func (k Kind) Restarts() bool { return k == KindService || k == KindWatcher }

// IsTemplate reports whether a confirmed intent of this kind authorizes later runs of its template.
func (k Kind) IsTemplate() bool { return k == KindCall || k == KindRecurring }
